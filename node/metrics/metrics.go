// Package metrics serves an instance's counters and histograms in the Prometheus text format.
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

// reportInterval is how often counters are handed to the scrape page.
const reportInterval = time.Second

// Server is the metrics of one instance. Each instance has its own registry, so that several instances can run in one process.
type Server struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns metrics without values.
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

// ServeHTTP implements http.Handler.
func (m *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// logRegisterError reports a metric that cannot be registered, such as one used with other tags before.
func logRegisterError(err error) { klog.ErrorS(err, "Metric was not registered") }

// Scope returns the scope to record in.
func (m *Server) Scope() tally.Scope { return m.scope }

// Close stops the reporting.
func (m *Server) Close() error { return m.closer.Close() }
