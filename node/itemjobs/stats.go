package itemjobs

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// stats counts how ends of jobs and the knowledge of owners travel.
type stats struct{ scope tally.Scope }

func newStats(scope tally.Scope) stats { return stats{scope.SubScope("item_jobs")} }

// ageBuckets cover 10 ms to about 20 s, doubling.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)

// started records how old the owner's knowledge of a job was when an item started.
func (s stats) started(confirmedAgo time.Duration) {
	s.scope.Histogram("start_confirmation_age", ageBuckets).RecordDuration(confirmedAgo)
}

// ended counts the end of a job by its client, and whether its owner took the notice.
func (s stats) ended(told bool) {
	s.scope.Tagged(map[string]string{"owner_told": strconv.FormatBool(told)}).Counter("ends").Inc(1)
}

// endFound records the time from the end of a job to when its owner found it in the store. The clocks of two instances are compared.
func (s stats) endFound(after time.Duration) {
	s.scope.Histogram("end_found_after", ageBuckets).RecordDuration(after)
}
