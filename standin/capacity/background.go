package capacity

// itemsPerSecond is the mean over a day.
const itemsPerSecond = itemsPerDay / day

// meanJob is the mean number of items of a job.
const meanJob = itemsPerDay / jobsPerDay

func batch(r *reader) Role {
	night := nightFactor.Value * itemsPerSecond
	listing := r.at("store.list.bytes", 2*shardCount) / shardListEvery
	return Role{
		Name: "Shard owner and batch runner",
		Text: "At most 256 owners; store writes grow with chunks, reads with shards and not with items.",
		Rows: []Row{
			{"store writes for repeatable items at night", night * r.at("batch.writes", meanJob), writeBudget, "writes/s", Fits, "batch.writes, A3", "one record for each chunk of 256"},
			{"the same if every item may run once only", night * r.at("batch.writes.claimed", meanJob), writeBudget, "writes/s", Fits, "batch.writes.claimed, A3", "claims in groups of 32"},
			{"store reads for open jobs", r.at("batch.pass.calls", 1000) / runnerPass, readBudget, "calls/s", Fits, "batch.pass.calls", "one listing for each owned shard every 3 s"},
			{"bytes of a node for listings of all shards", listing, byteBudget, "bytes/s", Fits, "store.list.bytes", "one whole listing a minute beside the watch"},
			{"shards owned again after a failure domain is lost", r.at("shards.takeover", nodes), 0, "s", NoBudget, "shards.takeover", "lease of 15 s, then the next in rendezvous order"},
			{"job record of 140,000 items", r.at("batch.job.bytes", largestJob), valueBudget, "bytes", Fits, "batch.job.bytes", "one reference for each chunk"},
			{"chunk records of that job, in one listing", r.at("batch.chunks.bytes", largestJob), valueBudget, "bytes", Fits, "batch.chunks.bytes",
				"read when the job changes its owner"},
			{"open items in memory, a day's at 256 owners", r.at("batch.open.memory", itemsPerDay) / shardCount / 1024, memoryBudget, "MB", Fits, "batch.open.memory",
				"items are held as chunks"},
			{"bodies of running chunks with items of 2 KB", chunkWorkers * chunkItems * 2 * itemBytes.Value / 1e6, memoryBudget, "MB", Fits, "A2", "16 chunks at once"},
			{"bodies of running chunks with the largest items", chunkWorkers * chunkBytes / 1e6, memoryBudget, "MB", DoesNotFit, "bounds of the code",
				"8 MiB of input for each of 16 chunks, results not counted"},
			{"processor time of a node without the requests, at night", night / nodes * r.at("batch.cpu", meanJob) / 1e4, coreBudget, "% of a core", Fits, "batch.cpu, A3",
				"spread over the owners"},
		},
	}
}

func holders(r *reader) Role {
	perDay := itemsPerDay * 2 * itemBytes.Value * copies / diskHolders.Value
	blobs := 2 * copies * itemsPerSecond / chunkItems / diskHolders.Value
	held := perDay * retentionDays
	return Role{
		Name: "Disk holder",
		Text: "Grows with the bytes of items and the retention; 18 holders are assumed.",
		Rows: []Row{
			{"bytes held for 7 days", held / 1e9, diskBytes.Value / 1e9, "GB", Fits, "A2, A4, A5", "two copies; collection after 7 days"},
			{"days until the quota is full without collection", diskBytes.Value / perDay, 0, "days", NoBudget, "A2, A4, A5", "no controller runs the collector yet"},
			{"blobs written at night", nightFactor.Value * blobs, 0, "blobs/s", NoBudget, "A3, A4", "one blob for each chunk of input and of results"},
			{"processor time for them", nightFactor.Value * blobs * r.at("disk.put.cpu", chunkItems*itemBytes.Value) / 1e4, coreBudget, "% of a core", Fits, "disk.put.cpu, A2, A3, A4",
				"write, fsync, rename, fsync of the folder"},
			{"share of a day in which the disk is writing, at night", nightFactor.Value * blobs * r.at("disk.put.time", chunkItems*itemBytes.Value) / 10, 100, "%", Fits,
				"disk.put.time, A2, A3, A4", "as above, on this machine's disk"},
			{"copying a lost holder's blobs by one owner", held / (1 << 20) / 3600, 0, "hours", NoBudget, "A2, A4", "1 MiB/s for each owner; no controller runs repairs yet"},
		},
	}
}

func polling(r *reader) Role {
	used := subsetSize * models
	loadBytes := r.at("engine.polls", used) * r.at("engine.load.bytes", adaptersHeld.Value)
	stateBytes := statePollBytes / statePollEstimate * r.at("engine.state.bytes", adaptersHeld.Value)
	return Role{
		Name: "Load and state polling of engines",
		Text: "State polls are paced to a number of bytes; load polls are not, and grow with the targets used.",
		Rows: []Row{
			{"bytes of a node for load polls", loadBytes, byteBudget, "bytes/s", DoesNotFit, "engine.polls, engine.load.bytes",
				"every used target without a report younger than 1 s; 7.3 requests/s over 120 targets leave nearly all silent"},
			{"processor time of a node for load polls", r.at("engine.polls", used) * r.at("engine.load.cpu", adaptersHeld.Value) / 1e4, coreBudget, "% of a core", Fits,
				"engine.polls, engine.load.cpu", "as above"},
			{"processor time of a node for looking for engines that are due", 2 * r.at("engine.pass.cpu", replicas) / 1e4, coreBudget, "% of a core", Fits,
				"engine.pass.cpu", "two passes a second over all targets"},
			{"load polls that a replica answers", nodes * r.at("engine.polls", used) / replicas, 0, "polls/s", NoBudget, "engine.polls", "as above"},
			{"bytes of a node for state polls", stateBytes, byteBudget, "bytes/s", Fits, "engine.state.bytes, A15", "2 polls/s whatever the number of targets"},
			{"time between two state polls of a replica", replicas * statePollEstimate / statePollBytes / 60, 0, "minutes", NoBudget, "design size",
				"a loaded model or adapter is seen this late"},
			{"target table", r.at("targets.table.memory", replicas) / 1024, memoryBudget, "MB", Fits, "targets.table.memory", "immutable snapshots"},
			{"processor time of the first state polls at a start", replicas * r.at("targets.change.cpu", replicas) / 1e6, 0, "s", NoBudget, "targets.change.cpu",
				"each answer copies and sorts the whole table"},
			{"bytes of a poll of the instance list each second", r.at("list.unchanged.bytes", nodes+replicas), byteBudget, "bytes/s", Fits, "list.unchanged.bytes", "changes since a revision"},
			{"whole instance list at a start", r.at("list.whole.bytes", nodes+replicas) / 1e6, 0, "MB", NoBudget, "list.whole.bytes", "once for each start"},
		},
	}
}
