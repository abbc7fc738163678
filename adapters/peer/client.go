package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	peerapi "eelgrassproxy.example/api/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// Timeouts and limits of calls to peers.
const (
	// ProbeTimeout covers a new connection and the call: four one-way trips of 12 ms between regions and slack for a busy peer.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout covers the call to the relay and the relay's own probe.
	IndirectTimeout = 2 * ProbeTimeout
	// FetchTimeout covers a section of 1 MB over a region link of a few tens of Mbit/s that is shared.
	FetchTimeout = 5 * time.Second

	connectTimeout     = 250 * time.Millisecond
	idleTimeout        = 60 * time.Second // ServerIdleTimeout is longer, so that the client closes first
	maxControlResponse = 64 << 10
	maxFetchResponse   = 16 << 20
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	api   *peerapi.Client
	http  *http.Transport
	meter *Meter
}

// Options of a Client. The zero value uses the operating system's network without TLS.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	TLS  *tls.Config // nil means plain TCP
}

// NewClient returns a client that authenticates with token and counts its bytes in meter.
func NewClient(token string, meter *Meter) (*Client, error) {
	return NewClientWith(token, meter, Options{})
}

// NewClientWith returns a client with options.
func NewClientWith(token string, meter *Meter, o Options) (*Client, error) {
	dial := o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext:         meter.dial(bounded(dial)),
		TLSClientConfig:     o.TLS,
		DisableCompression:  true, // saves the header Accept-Encoding; probes are too small to gain
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		Proxy:               nil, // peers are reached directly whatever the environment says
	}
	api, err := peerapi.NewClient("http://peer", bearerSource(token), peerapi.WithClient(&caller{transport: transport, secure: o.TLS != nil}))
	if err != nil {
		return nil, eris.Wrap(err, "create the peer client")
	}
	return &Client{api: api, http: transport, meter: meter}, nil
}

// bounded limits the time to open a connection.
func bounded(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Bytes returns what the meter of this client counted.
func (c *Client) Bytes() (sent, received int64) { return c.meter.Bytes() }

// Probe sends a probe to address and returns the acknowledgement.
func (c *Client) Probe(ctx context.Context, address string, p membership.Probe) (membership.Probe, error) {
	ctx, cancel := prepare(ctx, address, ProbeTimeout, maxControlResponse)
	defer cancel()
	wire, err := c.api.Probe(ctx, probeToWire(p))
	if err != nil {
		return membership.Probe{}, translate(err)
	}
	return probeFromWire(wire)
}

// IndirectResult is a relay's answer.
type IndirectResult struct {
	Reached     bool
	Incarnation uint64 // of the subject; 0 if it was not reached
}

// ProbeIndirect asks the relay of r to probe the subject of r.
func (c *Client) ProbeIndirect(ctx context.Context, from fleet.InstanceID, r membership.IndirectRequest) (IndirectResult, error) {
	ctx, cancel := prepare(ctx, r.RelayAddress, IndirectTimeout, maxControlResponse)
	defer cancel()
	wire, err := c.api.ProbeIndirect(ctx, &peerapi.IndirectProbe{F: string(from), N: string(r.Subject), A: r.SubjectAddress})
	if err != nil {
		return IndirectResult{}, translate(err)
	}
	return IndirectResult{Reached: wire.Ok, Incarnation: uint64(max(0, wire.I.Value))}, nil
}

// Manifest returns the signed manifest in force at the peer, or ErrNotFound before its first bundle.
func (c *Client) Manifest(ctx context.Context, address string) (bundle.SignedManifest, error) {
	ctx, cancel := prepare(ctx, address, FetchTimeout, maxFetchResponse)
	defer cancel()
	wire, err := c.api.GetManifest(ctx)
	if err != nil {
		return bundle.SignedManifest{}, translate(err)
	}
	return manifestFromWire(wire), nil
}

// Section returns the canonical JSON of the section with the digest (64 hexadecimal digits), or ErrNotFound. The caller verifies
// the digest.
func (c *Client) Section(ctx context.Context, address, digest string) ([]byte, error) {
	ctx, cancel := prepare(ctx, address, FetchTimeout, maxFetchResponse)
	defer cancel()
	wire, err := c.api.GetSection(ctx, peerapi.GetSectionParams{Digest: digest})
	if err != nil {
		return nil, translate(err)
	}
	body, err := io.ReadAll(wire)
	return body, translate(err)
}

// Decisions returns the decision log lines that the peer keeps for the request, oldest first.
func (c *Client) Decisions(ctx context.Context, address string, request fleet.RequestID) ([]string, error) {
	ctx, cancel := prepare(ctx, address, FetchTimeout, maxFetchResponse)
	defer cancel()
	wire, err := c.api.GetDecisions(ctx, peerapi.GetDecisionsParams{RequestID: string(request)})
	if err != nil {
		return nil, translate(err)
	}
	return wire.Lines, nil
}

type limitKey struct{}

// prepare sets the peer, the deadline and the response limit of one call.
func prepare(ctx context.Context, address string, timeout time.Duration, limit int64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	ctx = peerapi.WithServerURL(ctx, &url.URL{Scheme: "http", Host: address})
	return context.WithValue(ctx, limitKey{}, limit), cancel
}

type bearerSource string

// Bearer implements the generated interface.
func (s bearerSource) Bearer(context.Context, peerapi.OperationName, *peerapi.Client) (peerapi.Bearer, error) {
	return peerapi.Bearer{Token: string(s)}, nil
}

// caller sends requests without following redirects, which could carry the token elsewhere, and bounds the responses.
type caller struct {
	transport http.RoundTripper
	secure    bool
}

// Do implements the client interface of the generated code.
func (c *caller) Do(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil // omits the header
	if c.secure {
		r.URL.Scheme = "https"
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limit, ok := r.Context().Value(limitKey{}).(int64)
	if !ok {
		limit = maxControlResponse
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: limit}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read fails with ErrMessageTooLarge at the limit, unlike io.LimitReader, which would pass a cut response as complete.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, b.probeEnd()
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}

func (b *limitedBody) probeEnd() error {
	var one [1]byte
	n, err := b.ReadCloser.Read(one[:])
	if n > 0 {
		return ErrMessageTooLarge
	}
	return err
}
