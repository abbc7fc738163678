package sessions

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a stream that ends because its engine, like all others, is silent for a second or so and then goes on.
func TestStreamsOutlastTheSilenceOfAllEngines(t *testing.T) {
	for _, progressTimeout := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		t.Run(progressTimeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSession(t, nil)
				doc := s.fleet.Deployment.Document(2)
				doc.Limits.ProgressTimeoutMs = progressTimeout.Milliseconds()
				require.NoError(t, s.fleet.Roll(t.Context(), doc))
				time.Sleep(inForceWithin)
				a := s.send(chat(0, "slow", true, 8), func(n int) {
					if n != 2 {
						return
					}
					for id := range s.fleet.Engines {
						s.network.Partition(s.network.Names("instance-1"), s.network.Names(string(id)))
					}
					time.AfterFunc(1200*time.Millisecond, s.network.Heal)
				})
				assert.NoError(t, a.err)
				assert.Contains(t, a.body, "[DONE]")
				assert.NotContains(t, a.body, "error")
				s.fleet.Stop()
				s.client.CloseIdleConnections()
				time.Sleep(time.Minute) // closed connections and retries end
			})
		})
	}
}
