// Package membership detects which instances are alive. Its Detector follows the SWIM paper (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): randomized round-robin probes, indirect
// probes, suspicion before death, incarnation numbers, and updates piggybacked on probes and acknowledgements.
//
// The package does no I/O, reads no clock and starts no goroutines. Guard a Detector with a mutex.
package membership

import "eelgrassproxy.example/core/fleet"

// Update is one change of a member, piggybacked on a message. Addresses and failure domain are present only in updates with the state
// alive or draining, and may be empty even there; a receiver keeps its recorded value for an empty one.
type Update struct {
	ID            fleet.InstanceID
	State         fleet.MemberState
	Incarnation   uint64
	PeerAddress   string
	CallerAddress string
	FailureDomain fleet.FailureDomain
	HasDisk       bool // stores bulk data, the blobs of files and batch jobs, on its disk; set only together with the addresses
}

// TargetUpdate is one change of a target, piggybacked on a message. Only the state fleet.TargetLeaving is sent.
type TargetUpdate struct {
	ID    fleet.TargetID
	State fleet.TargetState
}

// Probe is the content of a probe and of its acknowledgement.
type Probe struct {
	From        fleet.InstanceID
	Incarnation uint64
	Generation  fleet.Generation // bundle generation in force at the sender
	InFlight    int              // requests in flight at the sender
	Updates     []Update
	Targets     []TargetUpdate
}

// Outgoing is a probe to send.
type Outgoing struct {
	To      fleet.InstanceID
	Address string // peer address, IP number and port
	Probe   Probe
}

// IndirectRequest asks Relay to probe Subject.
type IndirectRequest struct {
	Relay          fleet.InstanceID
	RelayAddress   string
	Subject        fleet.InstanceID
	SubjectAddress string
}

// GenerationHint is the highest bundle generation that was reported, and the peer that reported it, which has the bundle.
type GenerationHint struct {
	Generation fleet.Generation
	Peer       fleet.InstanceID
	Address    string // peer address
}

// Change is a change of a member's state as recorded by this instance.
type Change struct {
	ID          fleet.InstanceID
	Incarnation uint64
	From, To    fleet.MemberState
	Known       bool // false if the member is new; From is then meaningless
}

// Events holds the events since the last call of TakeEvents. Changes can be lost only if TakeEvents isn't called for long, and the loss isn't
// reported: a list of maxPendingChanges changes may be incomplete. Members is correct in any case.
type Events struct {
	Generation     *GenerationHint // set if a peer reported a generation higher than this instance's own and all reported before
	LeavingTargets []TargetUpdate  // targets newly reported as leaving
	Changes        []Change        // oldest first; at most maxPendingChanges, later ones are dropped
}

// ListState is the state of an instance in the instance list.
type ListState int

// States in the instance list.
const (
	ListUnknown ListState = iota // the list hasn't contained the instance
	ListLive
	ListLeaving
	ListGone
)

// ListEntry is one change from the instance list.
type ListEntry struct {
	ID            fleet.InstanceID
	State         ListState
	PeerAddress   string
	FailureDomain fleet.FailureDomain
}
