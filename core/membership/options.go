package membership

import (
	"math"
	"time"
)

// Options tunes a Detector. Zero fields take the defaults.
type Options struct {
	ProbeInterval       time.Duration // time between two probes
	IndirectProbes      int           // relays asked after a direct probe failed
	IndirectTimeout     time.Duration // after this the relays that did not report count as failed
	SuspicionFactor     float64       // suspicion lasts factor * max(1, log10(n)) probe intervals
	RetransmitFactor    float64       // an update is sent ceil(factor * log2(n+1)) times
	UpdatesPerMessage   int           // member and target updates in one probe or acknowledgement
	IntroductionUpdates int           // members told to an instance that is heard for the first time, at most 64 on the wire
	DeadRetention       time.Duration // dead members and leaving targets are remembered at least this long
	DeadProbeInterval   time.Duration // time between probes of dead members, so that parted regions find each other again
	ListLag             time.Duration // the instance list may be this much behind
	SpreadFanout        int           // probes sent at once by Announce
}

// Defaults of Options.
const (
	DefaultProbeInterval       = time.Second
	DefaultIndirectProbes      = 3
	DefaultIndirectTimeout     = 2 * time.Second
	DefaultSuspicionFactor     = 3.0
	DefaultRetransmitFactor    = 2.0
	DefaultUpdatesPerMessage   = 6
	DefaultIntroductionUpdates = 32
	DefaultDeadRetention       = 10 * time.Minute
	DefaultDeadProbeInterval   = 5 * time.Second
	DefaultListLag             = 30 * time.Second
	DefaultSpreadFanout        = 4
)

// pauseIntervals is how many probe intervals between two ticks mean that this instance was paused. What it missed meanwhile must
// not count against its peers.
const pauseIntervals = 3

// probeDuePercent is the share of ProbeInterval after which a tick may probe again. The worker pool jitters its periods by a
// tenth; with 100 % every early tick would skip a whole interval.
const probeDuePercent = 90

// maxPendingChanges bounds the events kept for an owner that does not take them.
const maxPendingChanges = 4096

func (o Options) withDefaults() Options {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.IndirectTimeout, DefaultIndirectTimeout)
	setDefault(&o.SuspicionFactor, DefaultSuspicionFactor)
	setDefault(&o.RetransmitFactor, DefaultRetransmitFactor)
	setDefault(&o.UpdatesPerMessage, DefaultUpdatesPerMessage)
	setDefault(&o.IntroductionUpdates, DefaultIntroductionUpdates)
	setDefault(&o.DeadRetention, DefaultDeadRetention)
	setDefault(&o.DeadProbeInterval, DefaultDeadProbeInterval)
	setDefault(&o.ListLag, DefaultListLag)
	setDefault(&o.SpreadFanout, DefaultSpreadFanout)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicionTimeout grows with the logarithm of the fleet, as the time does in which a refutation spreads.
func (o Options) suspicionTimeout(n int) time.Duration {
	scale := o.SuspicionFactor * math.Max(1, math.Log10(float64(n)))
	return time.Duration(scale * float64(o.ProbeInterval))
}

func (o Options) retransmits(n int) int {
	return int(math.Ceil(o.RetransmitFactor * math.Log2(float64(n+1))))
}
