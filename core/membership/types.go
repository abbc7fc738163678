// Package membership decides which instances are alive. Its Detector follows the SWIM paper (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): randomized round-robin probes, indirect
// probes, suspicion before death, incarnation numbers, and updates piggybacked on probes and acknowledgements.
//
// The package does no I/O, reads no clock and starts no goroutines. The owner of a Detector guards it with a mutex.
package membership

import "eelgrassproxy.example/core/fleet"

// Update is one piggybacked change of a member. Addresses and failure domain are present only in alive and draining updates
// that introduce the member; a receiver keeps what it knows where they are empty.
type Update struct {
	ID            fleet.InstanceID
	State         fleet.MemberState
	Incarnation   uint64
	PeerAddress   string
	CallerAddress string
	FailureDomain fleet.FailureDomain
	HasDisk       bool // holds bulk data; present where the addresses are
}

// TargetUpdate is one piggybacked change of a target. Only the state leaving travels.
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

// GenerationHint names the peer from which the highest bundle generation was heard.
type GenerationHint struct {
	Generation fleet.Generation
	Peer       fleet.InstanceID
	Address    string // peer address
}

// Change is a change of a member's state in the view of this instance.
type Change struct {
	ID          fleet.InstanceID
	Incarnation uint64
	From, To    fleet.MemberState
	Known       bool // false when the member is new; From is then meaningless
}

// Events is what happened since the last call of TakeEvents.
type Events struct {
	Generation *GenerationHint // set when a generation above every earlier one and above this instance's own was heard
	Targets    []TargetUpdate  // targets newly learned to be leaving
	Changes    []Change        // oldest first; at most maxPendingChanges
}

// ListState is what the instance list says of an instance.
type ListState int

// States in the instance list.
const (
	ListUnknown ListState = iota // the list did not mention the instance
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
