// Package wait provides delays that a context can end early, and signals that wake waiting goroutines.
package wait

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It returns true after d and false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Wake sends a signal to a channel of capacity 1, unless it already holds one. It does not block.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
