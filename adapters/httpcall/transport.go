package httpcall

import (
	"context"
	"net"
	"net/http"
	"time"
)

// ConnectTimeout bounds the time to open a connection to a target. Targets are within 12 ms of an instance, so that a connect that
// takes longer has lost its first packet or the target.
const ConnectTimeout = 250 * time.Millisecond

// Bounds of the transport to targets.
const (
	maxResponseHeaderBytes = 16 << 10
	maxIdlePerTarget       = 256
	idleTimeout            = 90 * time.Second
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns an HTTP client for targets that dials with ConnectTimeout. A nil dial uses the operating system's network. The
// client follows no redirects, asks for no compression and uses HTTP/1.1, so that each stream has its own connection.
func NewClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext:            boundedDial(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// NewFreshClient returns a client like NewClient that opens a connection for each request. Pooled connections can have gone silent without
// either end knowing; requests that must get through, or that must not be sent twice, avoid them.
func NewFreshClient(dial DialFunc) *http.Client {
	client := NewClient(dial)
	client.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

func boundedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// keepRedirect returns a redirect as the answer: following one would send the request a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
