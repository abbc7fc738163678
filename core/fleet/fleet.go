// Package fleet defines the identifiers and small value types that every other package shares.
package fleet

import "time"

// InstanceID names one running instance of eelgrassproxy, unique among live instances.
type InstanceID string

// TargetID names one model engine replica or one replica of a plain service.
type TargetID string

// CallerID names a client account of the bundle.
type CallerID string

// RequestID names one request of a caller; it is unique for each caller while the request is remembered.
type RequestID string

// FailureDomain names a set of machines that fail together.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// Generation numbers the bundles; a higher generation replaces a lower one. Zero means that no bundle is known.
type Generation uint64

// TargetKind tells model engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// TargetState is what the instance list and the peers say of a target.
type TargetState string

// States of a target.
const (
	TargetLive    TargetState = "live"
	TargetLeaving TargetState = "leaving"
)

// Target is one replica that requests may be sent to.
type Target struct {
	ID            TargetID
	Kind          TargetKind
	Service       string // name of the plain service; empty for an engine
	Address       string // IP number and port
	FailureDomain FailureDomain
	State         TargetState
}

// LoadedModel is one model version that an engine holds, with the adapters loaded beside it.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
	Loading  bool // weights are still on their way; requests would wait
}

// LoadReport is an engine's own view of its load. Reports lag: SampledAt is when the engine took the sample, converted to the
// local clock by the age that the report carries.
type LoadReport struct {
	Running       int // requests in the current batch
	Waiting       int // requests admitted but not yet in the batch
	KVBlocksFree  int
	KVBlocksTotal int
	SampledAt     time.Time
}

// MemberState is the state of an instance in the membership table.
type MemberState int

// States of an instance, in the order in which they override each other at equal incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDraining
	MemberDead
)

// String returns the state's name as logs and status show it.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDraining:
		return "draining"
	case MemberDead:
		return "dead"
	}
	return "invalid"
}

// refutationBits is the room below the start time for refutations of one process.
const refutationBits = 16

// NewIncarnation returns the first incarnation of a process that started at the time: milliseconds since 1970, shifted so that each
// refutation of a suspicion can add one. A restarted process therefore has a higher incarnation than its predecessor ever had.
func NewIncarnation(start time.Time) uint64 {
	return uint64(start.UnixMilli()) << refutationBits
}

// ProcessOf returns the part of an incarnation that stays the same for the life of a process.
func ProcessOf(incarnation uint64) uint64 {
	return incarnation >> refutationBits
}

// Member is one instance as the membership table knows it.
type Member struct {
	ID            InstanceID
	Incarnation   uint64
	State         MemberState
	PeerAddress   string // IP number and port of the peers' listener
	CallerAddress string // IP number and port of the callers' listener
	FailureDomain FailureDomain
	HasDisk       bool       // holds bulk data
	Generation    Generation // bundle generation last heard of
	InFlight      int        // requests in flight last heard of
	Capacity      float64    // of its processor, in cores; 0 if it is not stated
}

// Topology maps failure domains to regions and tells which distance lies between two failure domains.
type Topology struct {
	RegionOf map[FailureDomain]Region
}

// Distance classes between two failure domains, nearest first.
type Distance int

// Distances in rising cost.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns how far b is from a. An unknown failure domain counts as another region.
func (t Topology) Distance(a, b FailureDomain) Distance {
	if a == b {
		return SameFailureDomain
	}
	ra, knownA := t.RegionOf[a]
	rb, knownB := t.RegionOf[b]
	if knownA && knownB && ra == rb {
		return SameRegion
	}
	return OtherRegion
}
