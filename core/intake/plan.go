package intake

// Plan divides the memory and the descriptors of a process. Its parts add up to less than both; docs/design/misbehaving-clients.md has the whole table.
type Plan struct {
	// SmallBytes bounds what all requests hold of their first SmallRequest bytes, and LargeBytes what they hold beyond that, both in bytes. A request
	// holds its header and its body from their first byte to the end of its handler.
	SmallBytes, LargeBytes int64
	// Connections bounds the open connections of a listener, by its role.
	Connections [roles]int
	// CollectorBytes is the memory limit of the garbage collector.
	CollectorBytes int64
	// JobBytes bounds what jobs take up while they are decoded and written to the store, ItemBytes the items of accepted jobs that are not finished,
	// OutputBytes the outputs of items, and ResponseBytes the responses to online requests that are read whole, all in bytes.
	JobBytes, ItemBytes, OutputBytes, ResponseBytes int64
}

// Role says whom a listener serves.
type Role int

// Roles of listeners.
const (
	Callers    Role = iota // clients that send requests
	Auxiliary              // clients that look up addresses, and peers
	Monitoring             // checks, metrics and operators
	roles
)

// SmallRequest is the size in bytes up to which a request counts as small. Online requests have a few kilobytes, with their header.
const SmallRequest = 32 << 10

// Defaults for processes whose memory or descriptors are not stated.
const (
	DefaultMemoryBytes = 256 << 20
	DefaultDescriptors = 1024
)

// programBytes is the memory of the program's own pages in bytes, which the garbage collector does not count.
const programBytes = 16 << 20

// Shares of the memory that is left for data. What they leave is for the views of targets and peers, and for garbage.
const (
	collectorShare  = 0.75
	smallShare      = 0.05
	largeShare      = 0.1
	connectionShare = 0.1
	jobShare        = 0.1
	itemShare       = 0.1
	outputShare     = 0.22
	responseShare   = 0.14
)

// Bounds of Plan.ResponseBytes in bytes. The least holds the largest response that is read whole, in a buffer that grows by doubling.
const (
	minResponseBytes = 13 << 20
	maxResponseBytes = 24 << 20
)

// connectionBytes is the memory of an open connection whose request is not complete: goroutines, buffers, and the request without its fields and body.
const connectionBytes = 12 << 10

// Shares of the descriptors for sockets. What is left is for connections to the store, peers and targets.
const (
	fileDescriptors       = 200 // not for sockets
	callersDescriptors    = 1.0 / 2
	auxiliaryDescriptors  = 1.0 / 8
	monitoringDescriptors = 1.0 / 32
	// minConnections keeps a listener usable with very low limits.
	minConnections = 8
)

// NewPlan returns the plan for a process with a memory in bytes and a number of descriptors; 0 means that it is not stated.
func NewPlan(memory int64, descriptors int) Plan {
	if memory <= 0 {
		memory = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	memory = max(memory-programBytes, memory/4)
	bytes := func(share float64) int64 { return int64(share * float64(memory)) }
	affordable := int(bytes(connectionShare) / connectionBytes)
	connections := func(share float64) int {
		return max(min(int(share*float64(descriptors-fileDescriptors)), affordable), minConnections)
	}
	return Plan{
		SmallBytes: bytes(smallShare), LargeBytes: bytes(largeShare), CollectorBytes: bytes(collectorShare),
		JobBytes: bytes(jobShare), ItemBytes: bytes(itemShare), OutputBytes: bytes(outputShare), ResponseBytes: min(max(bytes(responseShare), minResponseBytes), maxResponseBytes),
		Connections: [roles]int{connections(callersDescriptors), connections(auxiliaryDescriptors), connections(monitoringDescriptors)},
	}
}
