// Package weights is a small fake of the platform's rate-limited weight store.
package weights

import (
	"context"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"eelgrassproxy.example/api/platform"
)

// chunkBytes is the unit in which a transfer takes from the shared rate, so that concurrent transfers advance together.
const chunkBytes = 1 << 20

// Options configure a Server.
type Options struct {
	BytesPerSecond int64 // rate of all transfers together; 0 means unlimited
}

// Server is the fake weight store. It is an http.Handler and safe for concurrent use.
type Server struct {
	platform.UnimplementedHandler
	api     *platform.Server
	limiter *rate.Limiter

	mu          sync.Mutex
	sizes       map[weightsKey]int64
	transferred int64
}

// weightsKey names the weights of one model version.
type weightsKey struct {
	model   string
	version string
}

// New returns a weight store without weights.
func New(opts Options) *Server {
	limit := rate.Inf
	if opts.BytesPerSecond > 0 {
		limit = rate.Limit(opts.BytesPerSecond)
	}
	s := &Server{limiter: rate.NewLimiter(limit, chunkBytes), sizes: map[weightsKey]int64{}}
	api, err := platform.NewServer(s, s)
	if err != nil {
		// NewServer fails only on invalid options, and none are given.
		panic(eris.Wrap(err, "create the weight store's API server"))
	}
	s.api = api
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.api.ServeHTTP(w, r)
}

// Set states the size of a model version's weights in bytes.
func (s *Server) Set(model, version string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[weightsKey{model, version}] = bytes
}

// Transferred returns the bytes transferred so far, those of aborted transfers included.
func (s *Server) Transferred() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transferred
}

// GetWeights implements the operation getWeights: it answers once the transfer would have ended at the limited rate.
func (s *Server) GetWeights(ctx context.Context, params platform.GetWeightsParams) (platform.GetWeightsRes, error) {
	s.mu.Lock()
	size, known := s.sizes[weightsKey{params.Model, params.Version}]
	s.mu.Unlock()
	if !known {
		return &platform.ErrorStatusCode{
			StatusCode: http.StatusNotFound,
			Response:   platform.Status{Message: platform.NewOptString("weights do not exist")},
		}, nil
	}
	for left := size; left > 0; {
		n := min(left, chunkBytes)
		if err := s.limiter.WaitN(ctx, int(n)); err != nil {
			return nil, eris.Wrapf(err, "transfer of %s %s aborted", params.Model, params.Version)
		}
		left -= n
		s.add(n)
	}
	return &platform.Weights{Bytes: size}, nil
}

func (s *Server) add(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transferred += n
}
