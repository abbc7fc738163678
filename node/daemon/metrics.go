package daemon

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

// metricsServer serves the instance's metrics in the Prometheus text format. Each instance has its own registry, so that several
// instances can run in one process.
type metricsServer struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

func newMetricsServer() *metricsServer {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: logRegisterError})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "eelgrassproxy",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &metricsServer{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
}

// ServeHTTP implements http.Handler.
func (m *metricsServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// logRegisterError reports a metric that cannot be registered, such as one used with other tags before.
func logRegisterError(err error) { klog.ErrorS(err, "Metric was not registered") }

// close stops the reporting.
func (m *metricsServer) close() error { return m.closer.Close() }
