package kv

import (
	"context"
	"strconv"

	"eelgrassproxy.example/api/platform"
)

// KeyLister is a Store that lists keys without their values.
type KeyLister interface {
	Store
	// ListKeys returns up to limit keys with the prefix that come behind the given one, in order and without values. More tells
	// whether there are further ones.
	ListKeys(ctx context.Context, prefix, behind string, limit int) (page KeyPage, err error)
}

// KeyPage is a part of a listing of keys.
type KeyPage struct {
	Keys []KeyValue // without values
	More bool
}

var _ KeyLister = (*Client)(nil)

// ListKeys implements KeyLister.
func (c *Client) ListKeys(ctx context.Context, prefix, behind string, limit int) (KeyPage, error) {
	from, end := prefixRange(prefix)
	if behind != "" {
		from = append([]byte(behind), 0)
	}
	request := &platform.RangeRequest{
		Key:      from,
		RangeEnd: end,
		Limit:    platform.NewOptString(strconv.Itoa(limit)),
		KeysOnly: platform.NewOptBool(true),
	}
	return call(ctx, c, operation{name: "range"}, func(ctx context.Context) (platform.RangeRes, error) {
		return c.api.Range(ctx, request)
	}, keyPage)
}

func keyPage(res *platform.RangeResponse) (KeyPage, error) {
	if _, err := headerRevision(res.Header); err != nil {
		return KeyPage{}, err
	}
	keys, err := keyValues(res.Kvs)
	return KeyPage{Keys: keys, More: res.More.Or(false)}, err
}
