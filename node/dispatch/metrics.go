package dispatch

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// metrics are the counters and histograms of requests and attempts, by pool.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope: scope.SubScope("requests")}
}

// latencyBuckets cover 1 ms to about 65 s, each bound twice the previous one.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func (m metrics) pool(r *request.Request) tally.Scope {
	return m.scope.Tagged(map[string]string{"pool": r.Pool().String()})
}

func (m metrics) finished(r *request.Request, err error, took time.Duration) {
	code := "ok"
	var p *problem.Error
	var incomplete *incompleteError
	switch {
	case errors.As(err, &incomplete):
		code = string(incomplete.problem.Code)
	case errors.As(err, &p):
		code = string(p.Code)
	case err != nil:
		code = string(problem.CodeInternal)
	}
	m.scope.Tagged(map[string]string{"pool": r.Pool().String(), "code": code}).Counter("finished").Inc(1)
	m.pool(r).Histogram("duration", latencyBuckets).RecordDuration(took)
}

func (m metrics) attempt(r *request.Request, f *failure) {
	result := "ok"
	switch {
	case f != nil && f.mayHaveRun:
		result = "failed"
	case f != nil:
		result = "not_run"
	}
	m.scope.Tagged(map[string]string{"pool": r.Pool().String(), "result": result}).Counter("attempts").Inc(1)
}

func (m metrics) firstByte(r *request.Request, d time.Duration) {
	m.pool(r).Histogram("first_byte", latencyBuckets).RecordDuration(d)
}
