// Package wait waits for a time that a context can cut short, and wakes goroutines that wait.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns false if ctx ended first.
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

// Wake leaves a notice in a channel of capacity 1, unless one is there already. It does not block.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
