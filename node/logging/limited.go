package logging

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Lines a second that a Limited logs, and how many more at once.
const (
	limitedRate  = 5
	limitedBurst = 20
)

// Limited logs a limited number of lines a second, about events that clients can bring about at any rate. It is safe for concurrent use.
type Limited struct {
	limiter *rate.Limiter
	skipped atomic.Int64 // lines since the last one
}

// NewLimited returns a log that has logged nothing yet.
func NewLimited() *Limited {
	return &Limited{limiter: rate.NewLimiter(limitedRate, limitedBurst)}
}

// Info logs a line, or counts it for the next one, which says how many were skipped.
func (l *Limited) Info(message string, keysAndValues ...any) {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	klog.InfoS(message, append(keysAndValues, "lines_skipped", l.skipped.Swap(0))...)
}
