package memkv

import (
	"context"

	"eelgrassproxy.example/adapters/kv"
)

var _ kv.KeyLister = (*Store)(nil)

// ListKeys implements kv.KeyLister. It counts as one call.
func (s *Store) ListKeys(ctx context.Context, prefix, after string, limit int) (kv.KeyPage, error) {
	listing, err := s.List(ctx, prefix)
	if err != nil {
		return kv.KeyPage{}, err
	}
	var page kv.KeyPage
	for _, item := range listing.Items {
		if item.Key <= after {
			continue
		}
		if len(page.Keys) == limit {
			page.More = true
			break
		}
		item.Value = nil
		page.Keys = append(page.Keys, item)
	}
	return page, nil
}
