package operations

import (
	"errors"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"eelgrassproxy.example/api/operator"
)

// Limits of the operators' listener. A bundle with 44,000 callers is about 6 MB of YAML.
const (
	maxBodyBytes      = 32 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = time.Minute
)

// Ready returns nil if the instance is ready to serve, or an error with the reason why it is not, which becomes the response to
// /readyz.
type Ready func() error

// NewServer returns the HTTP server of the operators' listener. Health and metrics require no token because they contain no
// secrets.
func NewServer(h *Handler, ready Ready, metrics http.Handler) (*http.Server, error) {
	generated, err := operator.NewServer(h, h)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/operator/", http.MaxBytesHandler(generated, maxBodyBytes))
	mux.Handle("/metrics", metrics)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}, nil
}

// isSecurityError reports whether the generated server rejected the request because of its credentials.
func isSecurityError(err error) bool {
	var security *ogenerrors.SecurityError
	return errors.As(err, &security) || errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied)
}
