package capacity

// tokensPerRequest is the mean length of an answer.
const tokensPerRequest = tokensPerSecond / requestsPerSecond

// perNode is the online requests of a node per second.
const perNode = requestsPerSecond / nodes

// tokenGap is the bound on the time between tokens, in seconds.
const tokenGap = 0.068

func entry(r *reader) Role {
	cpu := r.at("request.cpu", tokensPerRequest)
	answer := r.at("request.answer.bytes", tokensPerRequest)
	return Role{
		Name: "Entry (request path)",
		Text: "Grows with requests and tokens, not with the fleet: an instance sees a bounded subset of targets.",
		Rows: []Row{
			{"processor time of requests at a node", perNode * cpu / 1e4, entryCores.Value, "% of a core", Fits, "request.cpu, A16",
				"stateless instances; 7.3 requests/s and 1,890 tokens/s each at an even spread"},
			{"routing decision among a subset", r.at("routing.decide.time", subsetSize), 0, "us", NoBudget, "routing.decide.time",
				"24 targets of a model by rendezvous hashing"},
			{"routing decision among all replicas", r.at("routing.decide.time", replicas), 0, "us", NoBudget, "routing.decide.time",
				"what the subset avoids"},
			{"choice of the subsets of 5 models after a change of the target table", models * r.at("pools.subset.cpu", replicas) / 1e3, 0, "ms", NoBudget,
				"pools.subset.cpu", "cached until the table changes"},
			{"instances counted for each that really shares a target, in the load estimate", nodes / (nodes * subsetSize * models / replicas), 1, "times", DoesNotFit, "design size",
				"the estimate takes every serving instance to send to the same targets; with subsets 11.4 of 370 do"},
			{"token buckets if all callers are active", callers * r.at("limits.bucket.bytes", callers) / 1e6, memoryBudget, "MB", Fits, "limits.bucket.bytes",
				"full buckets are dropped"},
			{"memory of open streams at a node", perNode * tokensPerRequest * tokenGap * r.at("request.memory", 48) / 1024, 0, "MB", NoBudget, "request.memory",
				"129 streams, if tokens come at the bound of 68 ms; caller and engine included"},
			{"answers sent to callers by a node", perNode * answer / 1e6, 0, "MB/s", NoBudget, "request.answer.bytes", "events are relayed as they come"},
		},
	}
}

func membership(r *reader) Role {
	cpu := r.at("peer.probe.cpu", 4) + r.at("peer.detector.cpu", nodes)
	return Role{
		Name: "Membership",
		Text: "One probe a second whatever the size of the fleet; news spread on probes.",
		Rows: []Row{
			{"bytes of a node in quiet state", r.at("peer.quiet.bytes", nodes), byteBudget, "bytes/s", Fits, "peer.quiet.bytes", "probes with piggybacked updates"},
			{"bytes of a node with 290 restarts a day", r.at("peer.churn.bytes", nodes), byteBudget, "bytes/s", Fits, "peer.churn.bytes", "bounded retransmissions"},
			{"bytes of a node in the 10 s after a failure domain is lost", r.at("peer.burst.bytes", nodes), byteBudget, "bytes/s", Fits, "peer.burst.bytes",
				"at most 16 updates a message"},
			{"processor time of a node", cpu / 1e4, coreBudget, "% of a core", Fits, "peer.probe.cpu, peer.detector.cpu", "SWIM-style detector"},
			{"first suspicion of a crashed instance", r.at("peer.crash.first", nodes), 0, "s", NoBudget, "peer.crash.first", "direct and indirect probes"},
			{"a crashed instance suspected by all", r.at("peer.crash.all", nodes), 0, "s", NoBudget, "peer.crash.all", "spread on probes"},
			{"a lost failure domain suspected by all", r.at("peer.burst.all", nodes), 0, "s", NoBudget, "peer.burst.all",
				"41 losses share the space for updates in each message"},
		},
	}
}

func bundles(r *reader) Role {
	perSecond := changesPerDay / day
	change := r.at("bundle.delta.bytes", callers) + headerBytes.Value + 2*r.at("peer.probe.bytes", 0)
	apply := r.at("bundle.apply.cpu", callers)
	parse := r.at("bundle.parse.cpu", callers) + 2*r.at("bundle.split.cpu", callers)
	return Role{
		Name: "Bundle distributor",
		Text: "A change travels as a delta whose cost does not depend on the number of callers; whole documents and whole bundles do.",
		Rows: []Row{
			{"bundle in force, in memory", callers * r.at("bundle.heap", callers) / 1e6, memoryBudget, "MB", Fits, "bundle.heap", "sections shared between generations"},
			{"bytes of a node for changes", perSecond * change, byteBudget, "bytes/s", Fits, "bundle.delta.bytes, peer.probe.bytes, A9",
				"one delta from a peer and one announcement for each change"},
			{"processor time of a node for changes", perSecond * apply / 1e4, coreBudget, "% of a core", Fits, "bundle.apply.cpu", "deltas; only the changed section is built again"},
			{"the same in the busiest minute", changeBurst.Value * perSecond * apply / 1e4, coreBudget, "% of a core", Fits, "bundle.apply.cpu, A12", "as above"},
			{"time until a change is in force everywhere", r.at("peer.generation", nodes) + 0.1 + apply/1e6 + 6*storeMillis.Value/1e3, changeBudget, "s", Fits,
				"peer.generation, bundle.apply.cpu, A14", "two watchers a region; announcement by each instance; up to 0.1 s of spread"},
			{"processor time of the instance that takes the operators' YAML", perSecond * parse / 10, coreBudget, "% of a core", DoesNotFit,
				"bundle.parse.cpu, bundle.split.cpu", "each change sends and parses the whole document"},
			{"memory of that instance while it parses", r.at("bundle.parse.peak", callers) * 1.048576, memoryBudget, "MB", DoesNotFit, "bundle.parse.peak", "as above"},
			{"bytes that operators send", perSecond * r.at("bundle.yaml.bytes", callers) / 1e6, 0, "MB/s", NoBudget, "bundle.yaml.bytes", "as above"},
			{"largest value written for a change", r.at("bundle.manifest.bytes", callers) * base64Growth, valueBudget, "bytes", Fits, "bundle.manifest.bytes",
				"256 caller sections keep each value small"},
			{"bytes that a starting instance reads", r.at("bundle.whole.bytes", callers) * base64Growth / 1e6, 0, "MB", NoBudget, "bundle.whole.bytes",
				"261 sections, from the store"},
		},
	}
}

func claims(r *reader) Role {
	claimed := claimedShare.Value * requestsPerSecond
	return Role{
		Name: "Claims",
		Text: "Two store writes for each online request that must not be repeated; nothing else takes a claim. Batch items claim in groups of 32.",
		Rows: []Row{
			{"store writes at 5 % of online requests", claimed * r.at("claims.writes", 1000), writeBudget, "writes/s", Fits, "claims.writes, A1", "one compare-and-swap before, one after"},
			{"store writes if every online request were claimed", requestsPerSecond * r.at("claims.writes", 1000), writeBudget, "writes/s", DoesNotFit, "claims.writes", "as above"},
			{"claims held in the store at 5 %", claimed * claimHours * 3600 * r.at("claims.bytes", 1000), storeSpaceBudget, "bytes", DoesNotFit, "claims.bytes, A1, A11",
				"leases of 48 h without deletes"},
			{"answers waiting for the store in an outage, at worst", 1024 * 65_536 / 1e6, memoryBudget, "MB", Fits, "bounds of the code",
				"at most 1,024 outstanding claims, answers up to 64 KiB"},
		},
	}
}
