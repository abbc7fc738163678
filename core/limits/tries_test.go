package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/limits"
)

// Guards against sending a request again that must not run twice, and against retries that are unbounded or too late to succeed.
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
		"a request that did not run is tried again":             {limits.Tries{Started: 1}, false, false, 1, long, limits.TryAgain},
		"a request that must not run twice is not repeated":     {limits.Tries{Started: 1, MayHaveRun: 1}, true, false, 3, long, limits.NotRepeatable},
		"a repeatable request is repeated":                      {limits.Tries{Started: 1, MayHaveRun: 1}, true, true, 2, long, limits.TryAgain},
		"a request runs at no more targets than its route says": {limits.Tries{Started: 2, MayHaveRun: 2}, true, true, 2, long, limits.AttemptsUsed},
		"refusals by all targets end":                           {limits.Tries{Started: 6}, false, true, 2, long, limits.TriesUsed},
		"too little time is left for a retry":                   {limits.Tries{Started: 1}, false, true, 2, 10 * time.Millisecond, limits.NoTimeForRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.tries.CheckRetry(c.mayHaveRun, c.repeatable, c.maxAttempts, c.left))
		})
	}
}
