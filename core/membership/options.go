package membership

import (
	"math"
	"time"
)

// Options configures a Detector. Fields that are zero take the defaults.
type Options struct {
	ProbeInterval       time.Duration // time between two regular probes
	IndirectProbes      int           // number of relays asked to probe a member after a direct probe failed
	IndirectTimeout     time.Duration // time after which a relay that hasn't responded counts as failed
	SuspicionFactor     float64       // a suspicion lasts factor * max(1, log10(n)) probe intervals for n members
	RetransmitFactor    float64       // an update is sent ceil(factor * log2(n+1)) times for n members
	UpdatesPerMessage   int           // member and target updates in one probe or acknowledgement
	IntroductionUpdates int           // member updates in the first acknowledgement to a new process; messages hold at most 64
	DeadRetention       time.Duration // minimum time for which dead members and leaving targets are kept
	DeadProbeInterval   time.Duration // time between probes of dead members, which reconnect regions after a network partition
	ListLag             time.Duration // maximum time by which the instance list is behind
	SpreadFanout        int           // largest number of probes that Announce returns
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

// pauseIntervals is the number of probe intervals without a tick from which this instance counts as paused. Responses that it missed in a
// pause must not make it suspect its peers.
const pauseIntervals = 3

// probeDuePercent is the share of ProbeInterval, in percent, after which a tick sends the next probe. The worker pool varies its periods
// by a tenth; with 100 % every early tick would skip a whole interval.
const probeDuePercent = 90

// maxPendingChanges bounds Events.Changes if TakeEvents isn't called. Later changes are dropped.
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

// suspicionTimeout returns how long a suspicion lasts among n members. It grows with the logarithm of n, as does the time that a
// refutation takes to spread.
func (o Options) suspicionTimeout(n int) time.Duration {
	scale := o.SuspicionFactor * math.Max(1, math.Log10(float64(n)))
	return time.Duration(scale * float64(o.ProbeInterval))
}

// retransmits returns how often an update is sent among n members.
func (o Options) retransmits(n int) int {
	return int(math.Ceil(o.RetransmitFactor * math.Log2(float64(n+1))))
}
