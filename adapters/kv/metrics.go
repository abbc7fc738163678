package kv

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// Names of the client's metrics and their tags.
const (
	metricCalls   = "store_calls"        // counter: calls started, a watch as one
	metricErrors  = "store_call_errors"  // counter: calls that failed
	metricLatency = "store_call_latency" // timer: time to the answer; watches are left out
	tagOperation  = "operation"          // range, txn, grant, keepalive, revoke or watch
	tagPurpose    = "purpose"            // see WithPurpose
	tagInstance   = "instance"           // the client's writer id
	tagError      = "error"              // unavailable, outcome_unknown, lease_gone, value_too_large or other
)

type metrics struct {
	scope tally.Scope
}

func newMetrics(opts Options) metrics {
	scope := opts.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope: scope.Tagged(map[string]string{tagInstance: opts.WriterID})}
}

// begin counts a call and returns the function to run at its end.
func (m metrics) begin(operation, purpose string) func(error) {
	scope := m.started(operation, purpose)
	start := time.Now()
	return func(err error) {
		scope.Timer(metricLatency).Record(time.Since(start))
		failed(scope, err)
	}
}

// started counts a call and returns the scope of its other metrics.
func (m metrics) started(operation, purpose string) tally.Scope {
	scope := m.scope.Tagged(map[string]string{tagOperation: operation, tagPurpose: purpose})
	scope.Counter(metricCalls).Inc(1)
	return scope
}

func failed(scope tally.Scope, err error) {
	if err == nil {
		return
	}
	scope.Tagged(map[string]string{tagError: errorLabel(err)}).Counter(metricErrors).Inc(1)
}

func errorLabel(err error) string {
	switch {
	case eris.Is(err, ErrUnavailable):
		return "unavailable"
	case eris.Is(err, ErrOutcomeUnknown):
		return "outcome_unknown"
	case eris.Is(err, ErrLeaseGone):
		return "lease_gone"
	case eris.Is(err, ErrValueTooLarge):
		return "value_too_large"
	}
	return "other"
}
