// Package fleet defines the identifiers and small value types that the other packages share.
package fleet

import "time"

// InstanceID identifies a running instance of eelgrassproxy. It is unique among live instances; a restarted instance may keep it.
type InstanceID string

// TargetID identifies one replica of a model engine or of a plain service.
type TargetID string

// CallerID identifies a client account that the bundle defines.
type CallerID string

// RequestID identifies a request of a caller. It is unique per caller while the state of the request is kept.
type RequestID string

// FailureDomain is the name of a set of machines that may fail together.
type FailureDomain string

// Region is the name of a set of failure domains that are close to each other.
type Region string

// Generation is the number of a bundle. A bundle of a higher generation replaces one of a lower generation. Zero means that there is no bundle.
type Generation uint64

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// TargetState is the state of a target as reported by the instance list or by peers.
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
	Service       string // name of the plain service; empty for a model engine
	Address       string // IP number and port
	FailureDomain FailureDomain
	State         TargetState
}

// LoadedModel is a model version that an engine has loaded or is loading, with its loaded adapters.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
	Loading  bool // the weights are still being loaded; requests would have to wait
}

// LoadReport is the load that an engine reports. Reports arrive late: SampledAt is when the engine took the sample, converted to the
// local clock by means of the age stated in the report.
type LoadReport struct {
	Running       int // requests in the current batch
	Waiting       int // requests admitted but not in the batch yet
	KVBlocksFree  int
	KVBlocksTotal int
	SampledAt     time.Time
}

// MemberState is the state of an instance in the membership table.
type MemberState int

// States of an instance. At equal incarnation, a later state in this list overrides an earlier one.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDraining
	MemberDead
)

// String returns the name of the state as logs and the status show it.
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

// refutationBits is the number of low bits of an incarnation that count the refutations of one process.
const refutationBits = 16

// NewIncarnation returns the first incarnation of a process that started at start: the Unix time in milliseconds, shifted by refutationBits.
// Each refutation of a suspicion adds one or more. A restarted process therefore has a higher incarnation than its predecessor ever had.
func NewIncarnation(start time.Time) uint64 {
	return uint64(start.UnixMilli()) << refutationBits
}

// ProcessOf returns the part of an incarnation that stays the same as long as the process runs.
func ProcessOf(incarnation uint64) uint64 {
	return incarnation >> refutationBits
}

// Member is the entry of one instance in the membership table.
type Member struct {
	ID            InstanceID
	Incarnation   uint64
	State         MemberState
	PeerAddress   string // IP number and port of the peers' listener
	CallerAddress string // IP number and port of the callers' listener
	FailureDomain FailureDomain
	HasDisk       bool       // holds bulk data
	Generation    Generation // last reported bundle generation
	InFlight      int        // last reported number of requests in flight
	Capacity      float64    // processor capacity in cores; 0 if the instance doesn't state it
}

// Topology maps failure domains to regions, from which it derives the distance between two failure domains.
type Topology struct {
	RegionOf map[FailureDomain]Region
}

// Distance is the distance class of two failure domains.
type Distance int

// Distances, nearest first.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns the distance class of a and b. A failure domain whose region is unknown counts as in
// another region than every other failure domain.
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
