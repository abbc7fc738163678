package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines, about a megabyte, that wait for a slow reader of the log.
	maxQueuedLines = 4096
	// reportInterval is the interval between reports of lost lines.
	reportInterval = time.Second
	// maxLinesPerSecond is the maximum number of lines accepted per second. Under the heaviest load an instance writes about ten lines
	// for each of the hundred requests that it serves per second.
	maxLinesPerSecond = 2000
)

// Async is a writer that never blocks. Lines that do not fit into its queue because the reader is too slow, and lines beyond the maximum
// per second, are dropped; their number is written to the log. It is safe for concurrent use.
type Async struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu          sync.Mutex // guards the fields below; no other lock is acquired while it is held
	lost        int        // lines dropped since the last report
	windowStart time.Time  // start of the current one-second window
	windowLines int        // lines written in the current window, dropped ones included
	closed      bool
}

// NewAsync returns a writer that passes lines on to out from its own goroutine. Close stops the goroutine.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It expects one whole line, copies it, and returns len(p) and no error even if it drops the line.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.windowStart) >= time.Second {
		a.windowStart, a.windowLines = now, 0
	}
	a.windowLines++
	if a.closed || a.windowLines > maxLinesPerSecond {
		a.lost++
		return len(p), nil
	}
	select {
	case a.lines <- line:
	default:
		a.lost++
	}
	return len(p), nil
}

// Close waits until the queued lines are written, but no longer than timeout. Lines written after Close are dropped.
func (a *Async) Close(timeout time.Duration) {
	a.mu.Lock()
	closed := a.closed
	a.closed = true
	if !closed {
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines to out and reports lost lines until the queue is closed and empty.
func (a *Async) run() {
	defer close(a.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-a.lines:
			if !open {
				a.report()
				return
			}
			_, _ = a.out.Write(line) // a failure to write the log cannot be reported in the log
		case <-ticker.C:
			a.report()
		}
	}
}

// report writes the number of lines lost since the last report, if there are any.
func (a *Async) report() {
	a.mu.Lock()
	lost := a.lost
	a.lost = 0
	a.mu.Unlock()
	if lost > 0 {
		_, _ = fmt.Fprintf(a.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"Log lines were lost\",\"count\":%d}\n", time.Now().UTC().Format(time.RFC3339Nano), lost)
	}
}
