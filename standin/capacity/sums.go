package capacity

// storeBytes is what the store calls of a node in quiet state cost on the wire, per second, without claims and jobs.
func storeBytes(r *reader, nodes float64) float64 {
	return r.at("store.list.bytes", 2*shardCount)/shardListEvery +
		2*r.only("store.keepalive.bytes")/leaseRenewal +
		shardCount/nodes/runnerPass*r.only("store.empty.bytes") +
		r.at("store.get.bytes", 100)/headPoll
}

// today returns the bytes of an idle node of the present fleet.
func today(r *reader) float64 {
	polls := r.at("engine.polls", todayReplicas)*r.at("engine.load.bytes", adaptersHeld.Value) +
		statePollBytes/statePollEstimate*r.at("engine.state.bytes", adaptersHeld.Value)
	return r.at("peer.quiet.bytes", todayNodes) + storeBytes(r, todayNodes) + r.at("list.unchanged.bytes", todayNodes+todayReplicas) + polls
}

// control sums what each node spends on control.
func control(r *reader) Role {
	changes := changesPerDay / day
	change := r.at("bundle.delta.bytes", callers) + headerBytes.Value + 2*r.at("peer.probe.bytes", 0)
	list := r.at("list.unchanged.bytes", nodes+replicas)
	state := statePollBytes / statePollEstimate * r.at("engine.state.bytes", adaptersHeld.Value)
	load := r.at("engine.polls", subsetSize*models) * r.at("engine.load.bytes", adaptersHeld.Value)
	without := r.at("peer.churn.bytes", nodes) + storeBytes(r, nodes) + list + changes*change
	calls := 2/leaseRenewal + shardCount/nodes/runnerPass + 1/headPoll + 1 + statePollBytes/statePollEstimate + r.at("engine.polls", subsetSize*models)
	cpu := r.at("peer.probe.cpu", 4) + r.at("peer.detector.cpu", nodes) + r.at("shards.cpu", nodes) + r.at("store.list.cpu", 2*shardCount)/shardListEvery +
		calls*r.only("store.keepalive.cpu") + 2*r.at("engine.pass.cpu", replicas) + changes*r.at("bundle.apply.cpu", callers)
	memory := callers*(r.at("bundle.heap", callers)+r.at("limits.bucket.bytes", callers))/1e6 + r.at("targets.table.memory", replicas)/1024 +
		decisionLines*decisionBytes.Value/1e6
	return Role{
		Name: "Control of one node, all roles together",
		Text: "Held against the budget of 4.4 % of a core, 128 MB and 3 KB/s. Bytes are sent plus received, with HTTP headers, without TCP/IP headers.",
		Rows: []Row{
			{"bytes: membership, store, instance list, changes", without, byteBudget, "bytes/s", DoesNotFit,
				"peer.churn.bytes, store.list.bytes, store.keepalive.bytes, store.empty.bytes, store.get.bytes, list.unchanged.bytes, bundle.delta.bytes, A9",
				"more than half is the listing of shards"},
			{"bytes: the same with state polls", without + state, byteBudget, "bytes/s", DoesNotFit, "peer.churn.bytes, store.list.bytes, list.unchanged.bytes, bundle.delta.bytes, engine.state.bytes, A9, A15", "as above"},
			{"bytes: the same with load polls", without + state + load, byteBudget, "bytes/s", DoesNotFit, "peer.churn.bytes, store.list.bytes, list.unchanged.bytes, bundle.delta.bytes, engine.polls, engine.load.bytes, A9, A15", "see polling"},
			{"bytes of an idle node at today's 8 instances and 12 replicas", today(r), byteBudget, "bytes/s", DoesNotFit,
				"peer.quiet.bytes, store.list.bytes, store.keepalive.bytes, store.empty.bytes, list.unchanged.bytes, engine.polls, engine.load.bytes, engine.state.bytes, A15",
				"each of 8 instances owns 32 shards and lists their open jobs every 3 s"},
			{"the same measured, most of the listings of all shards left out", r.at("idle.bytes", todayNodes), byteBudget, "bytes/s", DoesNotFit, "idle.bytes",
				"real instances, stand-ins and HTTP; confirms the row above"},
			{"processor time", cpu / 1e4, coreBudget, "% of a core", Fits,
				"peer.probe.cpu, peer.detector.cpu, shards.cpu, store.list.cpu, store.keepalive.cpu, engine.pass.cpu, bundle.apply.cpu",
				"upper bound: both ends of each call; every call but the listing costs what a renewal costs"},
			{"processor time measured on an idle instance of a fleet of 16", r.at("idle.cpu", 16) / 1e4, coreBudget, "% of a core", Fits, "idle.cpu", "stand-ins included"},
			{"memory: bundle, buckets, targets, decisions", collectorWaste.Value*memory + processMemory.Value, memoryBudget, "MB", Fits,
				"bundle.heap, limits.bucket.bytes, targets.table.memory, A7, A8, A10", "without claims in an outage, bodies of chunks and parsing, see there"},
		},
	}
}

// quietReads is the sum of the store calls that are no writes, in quiet state.
func quietReads(r *reader) float64 {
	starts := restartsPerDay / day * (bundleSections + 4)
	changes := changesPerDay / day * (watchers + 3)
	jobs := nightFactor.Value * 2 * jobsPerDay / day
	return r.at("members.calls", nodes) + r.at("shards.calls", nodes) + r.at("batch.pass.calls", 1000)/runnerPass + nodes/headPoll + starts + changes + jobs
}

func store(r *reader) Role {
	claimed := claimedShare.Value * requestsPerSecond * r.at("claims.writes", 1000)
	batchWrites := nightFactor.Value * itemsPerSecond * r.at("batch.writes", meanJob)
	changes := changeBurst.Value * changesPerDay / day
	restarts := 8 * restartsPerDay / day
	recovery := r.at("shards.recovery", nodes) + r.at("members.recovery", nodes)
	return Role{
		Name: "Platform store: calls of the whole fleet",
		Text: "Writes grow with claims; reads grow with the fleet, mostly by lease renewals.",
		Rows: []Row{
			{"writes: claims at 5 %, batch at night, changes in the busiest minute, restarts", claimed + batchWrites + changes + restarts, writeBudget, "writes/s", Fits,
				"claims.writes, batch.writes, A1, A3, A12", "claims are nine tenths of it"},
			{"the same if the store counts lease renewals as writes", claimed + batchWrites + changes + restarts + 2*nodes/leaseRenewal, writeBudget, "writes/s", DoesNotFit,
				"claims.writes, batch.writes, A1, A3, A12, A17", "record and shards of an instance hang on two leases, renewed every 5 s each"},
			{"reads and lease renewals", quietReads(r), readBudget, "calls/s", Fits, "members.calls, shards.calls, batch.pass.calls, A3",
				"two renewals for each node every 5 s; 256 listings of open jobs every 3 s"},
			{"the same with each waiting watch counted as a call a second", quietReads(r) + nodes + watchers, readBudget, "calls/s", Fits, "members.calls, shards.calls, batch.pass.calls, A3",
				"one watch of the shards for each node, six of the head"},
			{"start of the whole fleet: shards, highest second", r.at("shards.start", nodes), readBudget, "calls/s", Fits, "shards.start", "at most 16 acquisitions in a pass"},
			{"recovery after an outage: shards and membership, highest second", recovery, readBudget, "calls/s", Fits,
				"shards.recovery, members.recovery", "jittered waits"},
			{"the same with 5,000 open jobs read again over 5 s", recovery + openJobs.Value*2/5, readBudget, "calls/s", DoesNotFit,
				"shards.recovery, members.recovery, A6", "two reads for each job as soon as its shard is owned again, which shards are within about 5 s"},
			{"loss of a failure domain: shards, highest second", r.at("shards.lost", nodes), readBudget, "calls/s", Fits, "shards.lost", "as above"},
			{"start of a failure domain: time that reading bundles takes all of the store's reads", nodes / domains * bundleSections / readBudget, changeBudget, "s", DoesNotFit,
				"design size", "each starting instance reads 261 sections from the store first; changes wait meanwhile"},
			{"the same for a start of the whole fleet", nodes * bundleSections / readBudget, changeBudget, "s", DoesNotFit, "design size", "as above"},
		},
	}
}

func storeSpaceRole(r *reader) Role {
	change := r.at("bundle.manifest.bytes", callers)*base64Growth + r.at("bundle.section.bytes", callers) + r.at("bundle.delta.bytes", callers)
	job := r.at("batch.job.bytes", meanJob) + r.at("batch.chunks.bytes", meanJob)
	claimed := claimedShare.Value * requestsPerSecond
	return Role{
		Name: "Platform store: space",
		Text: "Nothing deletes manifests, deltas, sections, jobs, chunks and files yet; only claims and owners expire, by their leases.",
		Rows: []Row{
			{"bundles written in a day", changesPerDay * change / 1e6, 0, "MB", NoBudget, "bundle.manifest.bytes, bundle.section.bytes, bundle.delta.bytes", "a manifest names all 261 sections"},
			{"bundles after 30 days", 30 * changesPerDay * change, storeSpaceBudget, "bytes", DoesNotFit, "bundle.manifest.bytes, bundle.section.bytes, bundle.delta.bytes, A11", "kept for ever"},
			{"jobs and chunks of 7 days", retentionDays * jobsPerDay * job, storeSpaceBudget, "bytes", Fits, "batch.job.bytes, batch.chunks.bytes, A11", "if they were deleted after the retention"},
			{"jobs and chunks of two years", 730 * jobsPerDay * job, storeSpaceBudget, "bytes", DoesNotFit, "batch.job.bytes, batch.chunks.bytes, A11", "kept for ever"},
			{"claims at 5 % of online requests", claimed * claimHours * 3600 * r.at("claims.bytes", 1000), storeSpaceBudget, "bytes", DoesNotFit, "claims.bytes, A1, A11", "48 h"},
		},
	}
}

func link(r *reader) Role {
	perRegion := nodes / regions
	pairs := regions * (regions - 1)
	otherRegion := (regions - 1) / regions
	probes := nodes * r.at("peer.churn.bytes", nodes) / 2 * otherRegion / pairs
	platform := perRegion * (storeBytes(r, nodes) + r.at("list.unchanged.bytes", nodes+replicas))
	state := nodes * statePollBytes / statePollEstimate * r.at("engine.state.bytes", adaptersHeld.Value) * otherRegion / pairs
	inputs := nightFactor.Value * itemsPerSecond * itemBytes.Value * otherRegion / pairs
	token := (r.at("request.answer.bytes", 256) - r.at("request.answer.bytes", 64)) / 192
	lost := tokensPerSecond / regions / (regions - 1) * token
	whole := nodes / domains * r.at("bundle.whole.bytes", callers) * base64Growth
	return Role{
		Name: "Region link, each direction of each link",
		Text: "Control fits; online work of a region that lost its targets, and starts that read from the store's region, do not.",
		Rows: []Row{
			{"membership", probes / megabit, linkBudget, "Mbit/s", Fits, "peer.churn.bytes", "probes go to all regions alike"},
			{"store and instance list, all in one region", platform / megabit, linkBudget, "Mbit/s", Fits,
				"store.list.bytes, store.keepalive.bytes, store.empty.bytes, store.get.bytes, list.unchanged.bytes", "mostly listings of shards"},
			{"state polls", state / megabit, linkBudget, "Mbit/s", Fits, "engine.state.bytes, A15", "every instance polls every replica of the fleet"},
			{"batch inputs at night", inputs / megabit, linkBudget, "Mbit/s", Fits, "A2, A3", "shards are owned without regard to where the blobs are"},
			{"all of the above", (probes + platform + state + inputs) / megabit, linkBudget, "Mbit/s", Fits, "peer.churn.bytes, store.list.bytes, list.unchanged.bytes, engine.state.bytes, A2, A3, A15", "no budget is enforced: LinkBudget has no caller yet"},
			{"answers if one region's targets are lost", lost / megabit, linkBudget, "Mbit/s", DoesNotFit, "request.answer.bytes", "own region first, then the others"},
			{"start of a failure domain's instances far from the store", whole / (linkBudget * megabit), serveBudget.Value, "s", DoesNotFit, "bundle.whole.bytes, A13",
				"each instance reads the whole bundle from the store first"},
		},
	}
}
