package capacity

// Sizes of docs/design.md section 1.6, and constants of the code that the rows refer to.
const (
	nodes             = 370.0
	replicas          = 3_900.0
	regions           = 3.0
	domains           = 9.0
	requestsPerSecond = 2_700.0
	todayNodes        = 8.0  // entry instances of each user today, docs/design.md section 1.5
	todayReplicas     = 12.0 // of the larger user
	tokensPerSecond   = 700_000.0
	itemsPerDay       = 13_000_000.0
	jobsPerDay        = 10_000.0
	largestJob        = 140_000.0
	callers           = 44_000.0
	models            = 5.0
	changesPerDay     = 20_000.0
	restartsPerDay    = 290.0 // 40 failures and 250 replacements
	day               = 86_400.0

	subsetSize        = 24.0    // targets of one model that an instance uses: requests.subset_size
	shardCount        = 256.0   // core/batch.Shards
	shardListEvery    = 52.5    // s, mean of node/control/shards: a minute less up to a quarter
	runnerPass        = 3.0     // s, node/batch.ReconcileEvery
	leaseRenewal      = 5.0     // s, of the membership record and of the shards
	headPoll          = 30.0    // s, node/control/bundlesync
	statePollBytes    = 1_000.0 // bytes/s, node/control/engines
	statePollEstimate = 500.0   // bytes that node/control/engines takes a poll of the state to cost
	bundleSections    = 261.0   // 256 of callers and 5 others
	watchers          = 6.0     // two for each region
	chunkItems        = 256.0   // core/batch.ChunkItems
	groupItems        = 32.0    // core/batch.GroupItems
	chunkWorkers      = 16.0    // chunks that an instance runs at once
	chunkBytes        = 8 << 20 // longest input of a chunk
	claimHours        = 48.0    // retention of a claim
	retentionDays     = 7.0     // of blobs
	copies            = 2.0     // of a blob
	base64Growth      = 4.0 / 3
	decisionLines     = 4_096.0 // lines kept for explain
)

// Budgets of docs/design.md sections 1.4 and 1.6.
const (
	coreBudget       = 4.4            // percent of a core
	memoryBudget     = 128.0          // MB
	byteBudget       = 3_000.0        // bytes/s
	readBudget       = 2_000.0        // calls/s
	writeBudget      = 300.0          // writes/s: the lower end of "several hundred"
	valueBudget      = 1_000_000.0    // bytes
	linkBudget       = 30.0           // Mbit/s: "a few tens"
	changeBudget     = 3.0            // s
	storeSpaceBudget = 8_000_000_000. // bytes, assumed
	megabit          = 1e6 / 8
)

// Assumption is a number that is neither a design size nor measured.
type Assumption struct {
	ID    string
	Value float64
	Unit  string
	Text  string
}

// The assumptions, each used by at least one row.
var (
	claimedShare   = Assumption{"A1", 0.05, "of online requests", "calls that must not be repeated; each 1 % adds 54 store writes/s"}
	itemBytes      = Assumption{"A2", 2_000, "bytes", "one item's line; its result has the same size"}
	nightFactor    = Assumption{"A3", 4, "times the mean", "batch arrives and runs in six hours of the day"}
	diskHolders    = Assumption{"A4", 18, "instances", "two disk holders in each failure domain"}
	diskBytes      = Assumption{"A5", 100e9, "bytes", "data quota of a holder"}
	openJobs       = Assumption{"A6", 5_000, "jobs", "open at the same time, half of a day's"}
	collectorWaste = Assumption{"A7", 2, "times the live heap", "Go's collector at its default setting"}
	processMemory  = Assumption{"A8", 20, "MB", "binary, goroutines, connections and buffers of an idle instance"}
	headerBytes    = Assumption{"A9", 400, "bytes", "HTTP headers of an exchange between instances"}
	decisionBytes  = Assumption{"A10", 3_000, "bytes", "log line of a decision among 24 candidates"}
	storeSpace     = Assumption{"A11", storeSpaceBudget, "bytes", "room in the store; the platform states only the size of a value"}
	changeBurst    = Assumption{"A12", 10, "times the mean", "rate of configuration changes in the busiest minute"}
	serveBudget    = Assumption{"A13", 60, "s", "time in which a lost failure domain's instances should serve again after their start"}
	storeMillis    = Assumption{"A14", 5, "ms", "one store call, \"responds in milliseconds\""}
	adaptersHeld   = Assumption{"A15", 4, "adapters", "held by a replica"}
	renewalsRead   = Assumption{"A17", 0, "writes", "of a lease renewal; if the store counts it as a write, see there"}
	entryCores     = Assumption{"A16", 100, "% of a core", "processor of one small entry instance that requests may use"}
)

// Assumptions lists them in the order of their IDs.
func Assumptions() []Assumption {
	return []Assumption{
		claimedShare, itemBytes, nightFactor, diskHolders, diskBytes, openJobs, collectorWaste, processMemory,
		headerBytes, decisionBytes, storeSpace, changeBurst, serveBudget, storeMillis, adaptersHeld, entryCores, renewalsRead,
	}
}
