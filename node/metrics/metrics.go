// Package metrics serves the counters and histograms of an instance in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"
)

// reportInterval is the interval at which recorded values are passed to the Prometheus registry.
const reportInterval = time.Second

// Server records and serves the metrics of one instance. Each Server has its own registry, so several instances can run in one process.
type Server struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns a server without recorded values. Close stops its reporting goroutine.
func New() *Server {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: logRegisterError})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "eelgrassproxy",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Server{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
}

// ServeHTTP implements http.Handler. It responds with the current values.
func (m *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// logRegisterError logs that a metric could not be registered, for example because it was used with different tags before.
func logRegisterError(err error) { klog.ErrorS(err, "Metric could not be registered") }

// Scope returns the root scope in which metrics are recorded.
func (m *Server) Scope() tally.Scope { return m.scope }

// Close stops passing recorded values to the registry.
func (m *Server) Close() error { return m.closer.Close() }
