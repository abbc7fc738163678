package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/limits"
)

// Guards against a request that must not run twice and is sent again, and against retries without bound or use.
func TestTriesOfARequest(t *testing.T) {
	long := 5 * time.Second
	cases := map[string]struct {
		tries       limits.Tries
		mayHaveRun  bool
		repeatable  bool
		maxAttempts int
		left        time.Duration
		want        limits.TryReason
	}{
		"what was not run goes elsewhere":             {limits.Tries{Started: 1}, false, false, 1, long, limits.TryAgain},
		"what may have run and must not run twice":    {limits.Tries{Started: 1, Ran: 1}, true, false, 3, long, limits.NotRepeatable},
		"a repeatable request is repeated":            {limits.Tries{Started: 1, Ran: 1}, true, true, 2, long, limits.TryAgain},
		"but not on more targets than its route says": {limits.Tries{Started: 2, Ran: 2}, true, true, 2, long, limits.AttemptsUsed},
		"refusals by all targets end":                 {limits.Tries{Started: 6}, false, true, 2, long, limits.TriesUsed},
		"without time a retry is of no use":           {limits.Tries{Started: 1}, false, true, 2, 10 * time.Millisecond, limits.NoTimeForRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.tries.Next(c.mayHaveRun, c.repeatable, c.maxAttempts, c.left))
		})
	}
}
