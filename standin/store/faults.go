package store

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// faults holds the switchable faults of a Server.
type faults struct {
	mu       sync.Mutex
	down     bool
	released chan struct{} // closed when calls do not hang; replaced by Hang(true)
	delay    time.Duration
	loseNext int
	dropNext int
}

func newFaults() *faults {
	released := make(chan struct{})
	close(released)
	return &faults{released: released}
}

// admit applies the faults that act before a call is looked at. It returns false if the call must be answered with 503.
func (f *faults) admit(ctx context.Context, closed <-chan struct{}) bool {
	f.mu.Lock()
	down, released, delay := f.down, f.released, f.delay
	f.mu.Unlock()
	if down {
		return false
	}
	select {
	case <-released:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-closed:
		panic(http.ErrAbortHandler)
	}
	if delay > 0 {
		wait(ctx, delay)
	}
	return true
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// wait blocks for the delay, or aborts the call when the client leaves.
func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// beforeWrite closes the connection without effect if a write is to be dropped.
func (f *faults) beforeWrite() {
	f.mu.Lock()
	drop := f.dropNext > 0
	if drop {
		f.dropNext--
	}
	f.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

// afterWrite closes the connection without an answer if the answer is to be lost.
func (f *faults) afterWrite() {
	f.mu.Lock()
	lose := f.loseNext > 0
	if lose {
		f.loseNext--
	}
	f.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// Down makes every call get an immediate 503 and cuts the open watches, until Down(false).
func (s *Server) Down(down bool) {
	s.faults.mu.Lock()
	s.faults.down = down
	s.faults.mu.Unlock()
	if down {
		s.handler.cutWatches()
	}
}

// Hang makes calls wait unanswered until Hang(false), which lets those whose client is still there proceed.
func (s *Server) Hang(hang bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	select {
	case <-s.faults.released:
		if hang {
			s.faults.released = make(chan struct{})
		}
	default:
		if !hang {
			close(s.faults.released)
		}
	}
}

// Slow delays every call by the given time before it takes effect.
func (s *Server) Slow(delay time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = delay
}

// LoseAnswers makes the next n writes (transactions with a write operation, grants and revocations) take effect while their
// connection closes without an answer.
func (s *Server) LoseAnswers(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseNext = n
}

// DropWrites closes the connection of the next n writes without any effect.
func (s *Server) DropWrites(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.dropNext = n
}

// ExpireLease ends a lease at once and deletes its keys. It returns false if the lease does not exist.
func (s *Server) ExpireLease(id int64) bool {
	return s.handler.endLease(id)
}

// CutWatches breaks the connections of all open watches.
func (s *Server) CutWatches() {
	s.handler.cutWatches()
}

// Compact drops the history below the revision; a watch that starts below it is canceled.
func (s *Server) Compact(revision int64) {
	s.handler.mu.Lock()
	defer s.handler.mu.Unlock()
	s.handler.state.compact(revision)
}
