// Package request defines the request of a caller as an instance processes it.
package request

import (
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
)

// Request is an authenticated request whose model or service has been resolved. It is immutable.
type Request struct {
	ID             fleet.RequestID
	Caller         *bundle.ResolvedCaller
	Bundle         *bundle.Active // bundle in force when the request arrived, used until the request ends
	Kind           fleet.TargetKind
	Model          *bundle.Model     // set if Kind is an engine
	Service        *bundle.Service   // set if Kind is a plain service
	Operation      *bundle.Operation // set if Kind is a plain service
	Path           string            // operation of the engine API or of the service
	Body           []byte            // JSON that is sent to the target
	Stream         bool              // the caller asked for a stream of events
	IdempotencyKey string
	Fingerprint    string    // digest of the caller's request before it was resolved with the bundle; set if IdempotencyKey is
	Attempt        int       // number of retries before this instance received the request
	Deadline       time.Time // time by which the caller expects the first byte of the response
	Prefix         routing.Prefix
	Batch          bool          // an item of a batch job, which yields to online requests
	AtRisk         bool          // a batch item whose job may miss its deadline
	AttemptTimeout time.Duration // for a batch item: maximum duration of one attempt
	MayRun         func() bool   // for a batch item: called when a target has room; false cancels the attempt; nil means true
}

// EngineModel returns the name of the model in requests to engines: the adapter if it has one, else base@version.
func EngineModel(m *bundle.Model) string {
	if m.Adapter != "" {
		return m.Adapter
	}
	return m.Base + "@" + m.Version
}

// Idempotent reports whether the request may be run more than once. Requests to engines always may.
func (r *Request) Idempotent() bool {
	return r.Operation == nil || r.Operation.Idempotent
}

// Pool returns the key of the set of targets that can serve the request.
func (r *Request) Pool() PoolKey {
	if r.Kind == fleet.KindService {
		return PoolKey{Kind: r.Kind, Service: r.Service.Name}
	}
	return PoolKey{Kind: r.Kind, Base: r.Model.Base, Version: r.Model.Version}
}

// MaxRunning returns the number of concurrent requests that one target of the pool serves well.
func (r *Request) MaxRunning() int {
	if r.Kind == fleet.KindService {
		return r.Service.MaxRunning
	}
	return r.Model.MaxRunning
}

// PoolKey identifies the targets of one model version or of one service. Service is set for services, Base and Version for
// engines.
type PoolKey struct {
	Kind    fleet.TargetKind
	Service string
	Base    string
	Version string
}

// String returns the form of the key in logs and metrics: the name of the service, or base@version.
func (k PoolKey) String() string {
	if k.Kind == fleet.KindService {
		return k.Service
	}
	return k.Base + "@" + k.Version
}
