// Package daemon assembles one instance from its settings, runs it, and shuts it down without cutting off a request.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
)

// Environment is the boundary to the operating system, which tests replace.
type Environment struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   httpcall.DialFunc
	Seed   uint64 // seed of random choices
}

// SystemEnvironment returns the operating system's network.
func SystemEnvironment() Environment {
	// Keep-alive probes end a connection whose path silently went away after about 11 s, also while it waits for an answer in one piece.
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	return Environment{Listen: net.Listen, Dial: dialer.DialContext, Seed: uint64(time.Now().UnixNano())}
}

// idleTimeout closes pooled connections to the platform that were not used for this time.
const idleTimeout = 90 * time.Second

// platformClient returns an HTTP client for the store and the instance list.
func platformClient(dial httpcall.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 16}}
}

// listen opens a listener, with TLS if configured.
func (e Environment) listen(address string, config *tls.Config) (net.Listener, error) {
	l, err := e.Listen("tcp", address)
	if err != nil || config == nil {
		return l, err
	}
	return tls.NewListener(l, config), nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
