// Package request defines one caller's request on its way through an instance.
package request

import (
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
)

// Request is an authenticated request whose model or service was resolved. It is immutable.
type Request struct {
	ID             fleet.RequestID
	Caller         *bundle.ResolvedCaller
	Bundle         *bundle.Active // bundle in force when the request arrived; the request keeps it to its end
	Kind           fleet.TargetKind
	Model          *bundle.Model     // for an engine
	Service        *bundle.Service   // for a plain service
	Operation      *bundle.Operation // for a plain service
	Path           string            // operation of the engine API or of the service
	Body           []byte            // JSON as sent to the target
	Stream         bool              // the caller asked for a stream of events
	IdempotencyKey string
	Fingerprint    string    // digest of what the caller asked for, before the bundle resolved it; set with an IdempotencyKey
	Attempt        int       // retries made before this instance got the request
	Deadline       time.Time // by which the caller expects the first byte
	Prefix         routing.Prefix
	Batch          bool          // an item of a job; gives way to online requests
	AtRisk         bool          // a batch item whose job may miss its deadline
	AttemptTimeout time.Duration // for a batch item: longest time of one attempt
	MayRun         func() bool   // for a batch item: asked when a target has room; false gives the attempt up; nil means true
}

// EngineModel is the name by which engines know a model: the adapter, or the base with its version.
func EngineModel(m *bundle.Model) string {
	if m.Adapter != "" {
		return m.Adapter
	}
	return m.Base + "@" + m.Version
}

// Idempotent tells whether the request may run more than once.
func (r *Request) Idempotent() bool {
	return r.Operation == nil || r.Operation.Idempotent
}

// Pool names the set of targets that can serve the request.
func (r *Request) Pool() PoolKey {
	if r.Kind == fleet.KindService {
		return PoolKey{Kind: r.Kind, Service: r.Service.Name}
	}
	return PoolKey{Kind: r.Kind, Base: r.Model.Base, Version: r.Model.Version}
}

// MaxRunning is how many requests one target of the pool serves well at once.
func (r *Request) MaxRunning() int {
	if r.Kind == fleet.KindService {
		return r.Service.MaxRunning
	}
	return r.Model.MaxRunning
}

// PoolKey identifies the targets of one model version or of one service.
type PoolKey struct {
	Kind    fleet.TargetKind
	Service string
	Base    string
	Version string
}

// String returns the key as logs and metrics show it.
func (k PoolKey) String() string {
	if k.Kind == fleet.KindService {
		return k.Service
	}
	return k.Base + "@" + k.Version
}
