package itemjobs

import (
	"errors"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/gateway"
)

// stats counts submissions and ends of jobs, and measures how late their owners find out, and how old the confirmations are with which items start.
// It counts the items that are given up and measures how long services have no room for waiting ones.
type stats struct {
	scope  tally.Scope
	memory memoryStats
}

func newStats(scope tally.Scope) stats {
	scope = scope.SubScope("item_jobs")
	return stats{scope: scope, memory: newMemoryStats(scope)}
}

// memoryStats show the memory in bytes that parts of the memory for items take up, and their limits.
type memoryStats struct{ kept, keptLimit, pages, pagesLimit, recorded, recordedLimit tally.Gauge }

func newMemoryStats(scope tally.Scope) memoryStats {
	part := func(name string) (used, limit tally.Gauge) {
		scope := scope.Tagged(map[string]string{"part": name})
		return scope.Gauge("memory_bytes"), scope.Gauge("memory_limit_bytes")
	}
	var m memoryStats
	m.kept, m.keptLimit = part("kept")
	m.pages, m.pagesLimit = part("pages")
	m.recorded, m.recordedLimit = part("recorded")
	return m
}

// report updates the metrics. The caller holds Service.mu.
func (s *memoryStats) report(m *memory) {
	s.kept.Update(float64(m.kept.Used()))
	s.keptLimit.Update(float64(m.kept.Limit()))
	s.pages.Update(float64(m.pages.Used()))
	s.pagesLimit.Update(float64(m.pages.Limit()))
	s.recorded.Update(float64(m.recorded.used))
	s.recordedLimit.Update(float64(m.recorded.limit))
}

// ageBuckets are histogram buckets from 10 ms to about 20 s, each twice as large as the one before.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)

// submitted counts a submission by the outcome that its client is told.
func (s stats) submitted(outcome Outcome) {
	s.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("submissions").Inc(1)
}

// started records the age of a job's last confirmation when one of its items starts.
func (s stats) started(confirmedAgo time.Duration) {
	s.scope.Histogram("start_confirmation_age", ageBuckets).RecordDuration(confirmedAgo)
}

// ended counts the end of a job by its client, and whether its owner acknowledged the notice.
func (s stats) ended(acknowledged bool) {
	s.scope.Tagged(map[string]string{"owner_told": strconv.FormatBool(acknowledged)}).Counter("ends").Inc(1)
}

// roomFound records how long a service had no room for waiting items.
func (s stats) roomFound(service string, after time.Duration) {
	s.scope.Tagged(map[string]string{"service": service}).Histogram("without_room", ageBuckets).RecordDuration(after)
}

// notKept counts a run that ended because its output could not be kept.
func (s stats) notKept(cause error) {
	reason := "memory_full"
	if errors.Is(cause, gateway.ErrOutputTooLong) {
		reason = "output_too_long"
	}
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("runs_not_kept").Inc(1)
}

// givenUp counts an item that was given up.
func (s stats) givenUp(reason itemjob.Reason) {
	s.scope.Tagged(map[string]string{"reason": reasonTags[reason]}).Counter("given_up").Inc(1)
}

// reasonTags are the values of the tag reason.
var reasonTags = map[itemjob.Reason]string{
	itemjob.CannotSucceed:    "cannot_succeed",
	itemjob.TooManyFailures:  "too_many_failures",
	itemjob.GiveUpTimePassed: "give_up_time_passed",
	itemjob.RouteRemoved:     "route_removed",
}

// endFound records the time from the end of a job to when its owner found it in the store. It includes the difference between the clocks of the
// two instances.
func (s stats) endFound(after time.Duration) {
	s.scope.Histogram("end_found_after", ageBuckets).RecordDuration(after)
}
