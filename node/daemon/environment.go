// Package daemon assembles one instance from its settings, runs it, and shuts it down without cutting off a request.
package daemon

import (
	"net"
	"net/http"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/routing"
)

// Environment is the instance's access to the network, the seed of its random choices and the policies that tests replace.
type Environment struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   httpcall.DialFunc
	Seed   uint64             // seed of all random choices
	Router *routing.Router    // nil means the default filters, scorers and picker
	Yield  *batch.YieldPolicy // nil means the default
}

// SystemEnvironment returns an environment with the operating system's network and a seed taken from the clock.
func SystemEnvironment() Environment {
	// Keep-alive probes close a connection about 11 s after its path broke without notice, also while it waits for a response that is not a
	// stream.
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	return Environment{Listen: net.Listen, Dial: dialer.DialContext, Seed: uint64(time.Now().UnixNano())}
}

// router returns the environment's router or the default one.
func (e Environment) router() *routing.Router {
	if e.Router != nil {
		return e.Router
	}
	return routing.NewRouter(routing.DefaultFilters(), routing.DefaultScorers(), routing.SpreadPicker{})
}

// yieldPolicy returns the environment's policy for batch items to yield to online requests, or the default one.
func (e Environment) yieldPolicy() batch.YieldPolicy {
	if e.Yield != nil {
		return *e.Yield
	}
	return batch.DefaultYieldPolicy()
}

// idleTimeout is the time after which unused pooled connections to the platform are closed.
const idleTimeout = 90 * time.Second

// platformClient returns an HTTP client for the store and the instance list.
func platformClient(dial httpcall.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 16}}
}
