package slots

import (
	"time"

	"eelgrassproxy.example/core/limits"
)

// Policy holds the weights and limits that decide which target a request gets.
type Policy struct {
	// PeerExpiry is the age at which a peer's report no longer counts.
	PeerExpiry time.Duration
	// RegionPenalty and RemotePenalty are the numbers of requests by which a target in another failure domain of the same region, or in
	// another region, must be emptier than a target of the instance's own failure domain to be preferred. Traffic across these borders is
	// paid by volume.
	RegionPenalty, RemotePenalty float64
	// ForeignPenalty is added for targets whose home is another instance, in units of the target's slots, because counts of that instance's
	// requests arrive late. With a value of 2, such a target is used only when no target of this instance has a free slot or a batch item
	// that yields.
	ForeignPenalty float64
	// BatchReserve is the number of slots that batch items leave free for the first requests of a burst, at each target with ReserveUnit slots or
	// more. The smaller targets of a service leave so many free of each ReserveUnit of their slots, rounded up, wherever these are.
	BatchReserve, ReserveUnit int
	// OverflowDelay is how long batch items wait for targets whose home is this instance before they use those of other instances.
	OverflowDelay time.Duration
	// MaxIdle is the time for which a free slot may be kept from waiting batch items while none of them starts.
	MaxIdle time.Duration
	// MaxQueue is the number of requests that may wait at a target beyond its slots. Targets serve in order of arrival, so a request that
	// could still be in time would wait there behind late ones. Requests that wait at the instance are ordered when a slot becomes free, see
	// Queue.
	MaxQueue int
	// FirmLimit is the number of slots of a target that batch items may keep while online requests wait.
	FirmLimit int
	// Health decides when a failing or slow target is ejected for a while.
	Health limits.OutlierPolicy
}

// DefaultPolicy returns a policy for targets with about eight slots that serve an online request in under a second.
func DefaultPolicy() Policy {
	return Policy{
		PeerExpiry:     5 * time.Second,
		RegionPenalty:  0.5,
		RemotePenalty:  1.5,
		ForeignPenalty: 2,
		BatchReserve:   1,
		ReserveUnit:    8,
		OverflowDelay:  time.Second,
		MaxIdle:        time.Second,
		MaxQueue:       0,
		FirmLimit:      4,
		Health:         healthPolicy(),
	}
}

// healthPolicy ejects a target for one second after two consecutive failures and doubles the time with each further ejection. With a
// MaxEjectedShare of 0.4, a service needs at least three targets for one to be ejected. A target that
// fails some of its requests, or fails them fast, would otherwise attract requests because it holds the fewest. One failure is not enough to
// eject: with a few lost responses in a hundred, the missing slots of ejected targets would cost more than the failures.
func healthPolicy() limits.OutlierPolicy {
	return limits.OutlierPolicy{
		ConsecutiveFailures: 2,
		FailureShare:        0.5,
		MinRequests:         20,
		SlowFactor:          4,
		MinSlowLatency:      250 * time.Millisecond,
		MinPeers:            3,
		BaseEjection:        time.Second,
		MaxEjection:         16 * time.Second,
		ResetAfter:          20 * time.Second,
		MaxEjectedShare:     0.4,
		ProbeTimeout:        2 * time.Second,
		EvaluationInterval:  3 * time.Second,
	}
}
