package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the number of lines that may wait for a slow reader of the log: about a megabyte.
	queueLines = 4096
	// reportPeriod is how often lost lines are reported.
	reportPeriod = time.Second
	// linesPerSecond bounds the volume. An instance writes about ten lines for each of the hundred requests that it serves in a second
	// under the heaviest load.
	linesPerSecond = 2000
)

// Async is a writer that never blocks: lines that its reader is too slow for, and lines beyond the bound of the volume, are lost and
// counted. It is safe for concurrent use.
type Async struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex // guards the fields below; a leaf
	lost   int
	second time.Time // of which written counts the lines
	count  int
	closed bool
}

// NewAsync returns a writer that passes lines on to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It takes one line and always succeeds.
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

// Close writes what waits, if the reader takes it within the time.
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
			_, _ = a.out.Write(line) // a log that cannot be written cannot be reported in it
		case <-ticker.C:
			a.report()
		}
	}
}

// report writes how many lines were lost since the last report.
func (a *Async) report() {
	a.mu.Lock()
	lost := a.lost
	a.lost = 0
	a.mu.Unlock()
	if lost > 0 {
		_, _ = fmt.Fprintf(a.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"Log lines were lost\",\"count\":%d}\n", time.Now().UTC().Format(time.RFC3339Nano), lost)
	}
}
