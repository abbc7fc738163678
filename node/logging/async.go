package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the maximum number of lines, about a megabyte, that wait for a slow reader of the log.
	queueLines = 4096
	// reportPeriod is the interval between reports of lost lines.
	reportPeriod = time.Second
	// linesPerSecond is the maximum number of lines accepted per second. Under the heaviest load an instance writes about ten lines for
	// each of the hundred requests that it serves per second.
	linesPerSecond = 2000
)

// Async is a writer that never blocks. Lines that do not fit into its queue because the reader is too slow, and lines beyond the maximum
// per second, are dropped; their number is written to the log. It is safe for concurrent use.
type Async struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex // guards the fields below; no other lock is acquired while it is held
	lost   int        // lines dropped since the last report
	second time.Time  // start of the second whose lines count holds
	count  int        // lines written in that second, dropped ones included
	closed bool
}

// NewAsync returns a writer that passes lines on to out from its own goroutine. Close stops the goroutine.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It expects one whole line, copies it, and returns len(p) and no error even if it drops the line.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.second) >= time.Second {
		a.second, a.count = now, 0
	}
	a.count++
	if a.closed || a.count > linesPerSecond {
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

// Close waits until the queued lines are written, but no longer than patience. Lines written after Close are dropped.
func (a *Async) Close(patience time.Duration) {
	a.mu.Lock()
	closed := a.closed
	a.closed = true
	if !closed {
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(patience):
	}
}

// run writes the queued lines to out and reports lost lines until the queue is closed and empty.
func (a *Async) run() {
	defer close(a.done)
	ticker := time.NewTicker(reportPeriod)
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
