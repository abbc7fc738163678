package kv

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/api/platform"
)

// Defaults of Options.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultWatchIdleTimeout = time.Minute
)

// Options configure a Client.
type Options struct {
	// CallTimeout bounds each call, and the time until a watch is established. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchIdleTimeout ends a watch that received nothing for so long, because a connection may go silent for good without an
	// error. 0 means DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
	// WriterID names this process in the tokens of its writes and in its metrics.
	WriterID string
}

// Client is a Store that speaks the JSON mapping of the etcd v3 API over HTTP. It is safe for concurrent use.
type Client struct {
	api     *platform.Client
	opts    Options
	metrics metrics
	writer  *Writer
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at baseURL ("http://ip:port"). The httpClient's Transport must be a *http.Transport or
// report to net/http/httptrace as that does, because the client tells by it whether a failed write may have been sent; its
// Timeout must be 0, because it would also end watches.
func NewClient(baseURL string, httpClient *http.Client, opts Options) (*Client, error) {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.WatchIdleTimeout <= 0 {
		opts.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	api, err := platform.NewClient(baseURL, platform.WithClient(httpClient))
	if err != nil {
		return nil, eris.Wrapf(err, "parse the store's address %q", baseURL)
	}
	return &Client{api: api, opts: opts, metrics: newMetrics(opts), writer: NewWriter(opts.WriterID)}, nil
}

// Writer returns the helper for compare-and-swap writes under this client's writer id.
func (c *Client) Writer() *Writer {
	return c.writer
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	res, err := call(ctx, c, operation{name: "range"}, func(ctx context.Context) (platform.RangeRes, error) {
		return c.api.Range(ctx, &platform.RangeRequest{Key: []byte(key)})
	}, listing)
	if err != nil {
		return KeyValue{}, err
	}
	if len(res.Items) == 0 {
		return KeyValue{}, eris.Wrapf(ErrNotFound, "key %q", key)
	}
	return res.Items[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	return c.ListAfter(ctx, prefix, "")
}

// ListAfter implements Store.
func (c *Client) ListAfter(ctx context.Context, prefix, after string) (Listing, error) {
	from, end := prefixRange(prefix)
	if after > string(from) {
		from = append([]byte(after), 0)
	}
	return call(ctx, c, operation{name: "range"}, func(ctx context.Context) (platform.RangeRes, error) {
		return c.api.Range(ctx, &platform.RangeRequest{Key: from, RangeEnd: end})
	}, listing)
}

// Txn implements Store. A transaction without puts and deletes counts as a read: its failure is always ErrUnavailable.
func (c *Client) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	req, err := txnRequest(txn)
	if err != nil {
		return TxnResult{}, err
	}
	return call(ctx, c, operation{name: "txn", write: txn.writes()}, func(ctx context.Context) (platform.TxnRes, error) {
		return c.api.Txn(ctx, req)
	}, func(res *platform.TxnResponse) (TxnResult, error) { return txnResult(txn, res) })
}

// Grant implements Store. The store counts whole seconds: ttl is rounded up. A grant with an unknown outcome may leave a lease
// without keys behind, which ends by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	req := &platform.LeaseGrantRequest{TTL: strconv.FormatInt(seconds, 10)}
	return call(ctx, c, operation{name: "grant", write: true}, func(ctx context.Context) (platform.LeaseGrantRes, error) {
		return c.api.LeaseGrant(ctx, req)
	}, func(res *platform.LeaseGrantResponse) (LeaseID, error) { return grantedLease(res, seconds) })
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	op := operation{name: "keepalive", write: true}
	ttl, err := call(ctx, c, op, func(ctx context.Context) (platform.LeaseKeepAliveRes, error) {
		return c.api.LeaseKeepAlive(ctx, &platform.LeaseRequest{ID: formatLease(id)})
	}, func(res *platform.LeaseKeepAliveResponse) (int64, error) { return parseNumber(res.Result.TTL) })
	if err != nil {
		return 0, err
	}
	if ttl <= 0 {
		return 0, eris.Wrapf(ErrLeaseGone, "lease %d", id)
	}
	return time.Duration(ttl) * time.Second, nil
}

// Revoke implements Store. It returns ErrLeaseGone if the lease had already ended.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	op := operation{name: "revoke", write: true}
	_, err := call(ctx, c, op, func(ctx context.Context) (platform.LeaseRevokeRes, error) {
		return c.api.LeaseRevoke(ctx, &platform.LeaseRequest{ID: formatLease(id)})
	}, func(*platform.LeaseRevokeResponse) (struct{}, error) { return struct{}{}, nil })
	return err
}

func (t Txn) writes() bool {
	for _, branch := range [][]Op{t.Then, t.Else} {
		for _, op := range branch {
			if op.Kind != OpGet {
				return true
			}
		}
	}
	return false
}
