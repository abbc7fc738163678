package kv

import "context"

type staleKey struct{}

// AllowStale lets the reads made under ctx be answered from data that may be seconds old, which some stores serve more cheaply.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// Stale tells whether AllowStale was called for ctx.
func Stale(ctx context.Context) bool {
	stale, _ := ctx.Value(staleKey{}).(bool)
	return stale
}
