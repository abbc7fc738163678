package logging_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/node/logging"
)

// reader receives the lines of a log. Its writes block until blocked is closed.
type reader struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (r *reader) Write(p []byte) (int, error) {
	<-r.blocked
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// Guards against an instance that blocks because nothing reads its log, and against lines that are lost without a report.
func TestSlowReaderBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{blocked: make(chan struct{})}
		log := logging.NewAsync(r)
		for second := range 5 {
			for i := range 1500 {
				_, err := log.Write(fmt.Appendf(nil, "line %d.%d\n", second, i))
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
		}
		close(r.blocked)
		time.Sleep(2 * time.Second)
		log.Close(time.Second)
		require.Contains(t, r.text.String(), "line 0.0\n")
		require.Contains(t, r.text.String(), "Log lines were lost")
		require.Contains(t, r.text.String(), `"count":3403`, "5 times 1500 less the queue of 4096 and the line being written")
	})
}

// Guards against a log that grows without bound under load, and against queued lines that are lost on Close.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{blocked: make(chan struct{})}
		close(r.blocked)
		log := logging.NewAsync(r)
		for range 10 {
			for range 300 {
				_, _ = log.Write([]byte("x\n"))
			}
			synctest.Wait()
		}
		log.Close(time.Second)
		require.Equal(t, 2000, bytes.Count(r.text.Bytes(), []byte("x\n")))
		require.Contains(t, r.text.String(), `"count":1000`)
	})
}
