package kv

import "context"

type onePageKey struct{}

// OnePage lets a listing under ctx end after the first page of the store, with Listing.More set if there are further keys. Values of up to a megabyte each
// could otherwise fill the memory. Stores whose listings have no pages return all keys.
func OnePage(ctx context.Context) context.Context {
	return context.WithValue(ctx, onePageKey{}, true)
}

// IsOnePage reports whether OnePage was called for ctx.
func IsOnePage(ctx context.Context) bool {
	one, _ := ctx.Value(onePageKey{}).(bool)
	return one
}
