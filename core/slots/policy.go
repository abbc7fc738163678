package slots

import (
	"time"

	"eelgrassproxy.example/core/limits"
)

// Policy holds the weights of the decisions.
type Policy struct {
	// PeerExpiry is the age at which what a peer said no longer counts.
	PeerExpiry time.Duration
	// RegionPenalty and RemotePenalty are the requests by which a target of the own region, or of another one, must be emptier than a
	// target of the own failure domain to be preferred: bytes that cross these borders are paid for.
	RegionPenalty, RemotePenalty float64
	// ForeignPenalty is added, in units of a target's slots, for targets that are the home of another instance, whose requests are heard of
	// late: with two, such a target is used when no own one has a free slot or a batch item that gives way.
	ForeignPenalty float64
	// BatchReserve is the number of slots at each target that batch items leave free for the first requests of a burst.
	BatchReserve int
	// MaxQueue is the number of requests that may wait at a target beyond its slots. Targets serve in order of arrival, so that a request that
	// could be in time waits there behind others; at the instance, the next one is chosen when a slot is free.
	MaxQueue int
	// FirmLimit is the number of slots of a target that batch items may keep although online requests wait.
	FirmLimit int
	// Health says when a target that fails or is slow gets no requests for a while.
	Health limits.OutlierPolicy
}

// DefaultPolicy suits targets of about eight slots that serve an online request in under a second.
func DefaultPolicy() Policy {
	return Policy{
		PeerExpiry:     5 * time.Second,
		RegionPenalty:  0.5,
		RemotePenalty:  1.5,
		ForeignPenalty: 2,
		BatchReserve:   1,
		MaxQueue:       0,
		FirmLimit:      4,
		Health:         healthPolicy(),
	}
}

// healthPolicy ejects a target for a second at two failures in a row and for twice as long at each further one. A target that fails part of
// its requests, or fails them fast, would otherwise draw requests by being the emptiest. One failure is not enough: a fleet that loses a few
// answers in a hundred would lose more by the slots that it does without.
func healthPolicy() limits.OutlierPolicy {
	return limits.OutlierPolicy{
		Consecutive:    2,
		FailureShare:   0.5,
		MinRequests:    20,
		SlowFactor:     4,
		SlowAtLeast:    250 * time.Millisecond,
		MinPeers:       3,
		BaseEjection:   time.Second,
		MaxEjection:    16 * time.Second,
		ForgiveAfter:   20 * time.Second,
		MaxEjected:     0.4,
		ProbeTimeout:   2 * time.Second,
		EvaluatePeriod: 3 * time.Second,
	}
}
