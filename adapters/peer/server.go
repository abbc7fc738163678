package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/rotisserie/eris"

	peerapi "eelgrassproxy.example/api/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// ServerIdleTimeout is for the http.Server of the peers' listener. It exceeds the client's, so that a client never sends on a
// connection that the server is closing.
const ServerIdleTimeout = 2 * idleTimeout

// maxRequestBody bounds what a peer may send in one call, blobs excepted.
const maxRequestBody = 64 << 10

// Handlers are what the server needs of its instance. All fields but Blobs are required.
type Handlers struct {
	// Probe takes in a probe and returns the acknowledgement.
	Probe func(ctx context.Context, p membership.Probe) membership.Probe
	// ProbeIndirect probes subject for another instance. address is used if the subject is unknown here.
	ProbeIndirect func(ctx context.Context, subject fleet.InstanceID, address string) IndirectResult
	// Manifest returns the signed manifest in force; false before the first bundle.
	Manifest func() (bundle.SignedManifest, bool)
	// Section returns a section by digest; false if it is not held.
	Section func(digest string) ([]byte, bool)
	// Delta returns the delta that led to a recent generation; false if it is not held.
	Delta func(to fleet.Generation) (bundle.Delta, bool)
	// Decisions returns the decision log lines of a request, oldest first.
	Decisions func(request fleet.RequestID) []string
	// Blobs is empty on an instance without a disk.
	Blobs BlobHandlers
}

func (h Handlers) complete() bool {
	return h.Probe != nil && h.ProbeIndirect != nil && h.Manifest != nil && h.Section != nil && h.Delta != nil && h.Decisions != nil &&
		h.Blobs.consistent()
}

// NewHandler returns the HTTP handler of the peers' listener. It accepts the bearer tokens whose SHA-256 digests are given, two
// while a token is being replaced, and answers 401 to everyone else.
func NewHandler(handlers Handlers, tokenDigests [][sha256.Size]byte) (http.Handler, error) {
	if !handlers.complete() {
		return nil, eris.New("peer server lacks a handler function")
	}
	server, err := peerapi.NewServer(&service{handlers: handlers}, tokens(tokenDigests), peerapi.WithErrorHandler(writeError))
	if err != nil {
		return nil, eris.Wrap(err, "create the peer server")
	}
	return boundBody(withoutDate(server)), nil
}

// withoutDate omits the header Date, 37 bytes of each acknowledgement that no peer reads.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// tokens holds the digests of the accepted bearer tokens.
type tokens [][sha256.Size]byte

// HandleBearer implements the generated interface. It compares digests, so that the time tells neither length nor content of an
// accepted token.
func (t tokens) HandleBearer(ctx context.Context, _ peerapi.OperationName, bearer peerapi.Bearer) (context.Context, error) {
	digest := sha256.Sum256([]byte(bearer.Token))
	matches := 0
	for i := range t {
		matches |= subtle.ConstantTimeCompare(digest[:], t[i][:])
	}
	if matches != 1 {
		return nil, ErrUnauthorized
	}
	return ctx, nil
}

// service implements the generated server interface.
type service struct {
	handlers Handlers
}

// Probe implements POST /peer/v1/probe.
func (s *service) Probe(ctx context.Context, wire *peerapi.Probe) (*peerapi.Probe, error) {
	p, err := probeFromWire(wire)
	if err != nil {
		return nil, err
	}
	return probeToWire(s.handlers.Probe(ctx, p)), nil
}

// ProbeIndirect implements POST /peer/v1/probe-indirect.
func (s *service) ProbeIndirect(ctx context.Context, wire *peerapi.IndirectProbe) (*peerapi.IndirectResult, error) {
	result := s.handlers.ProbeIndirect(ctx, fleet.InstanceID(wire.N), wire.A)
	answer := &peerapi.IndirectResult{Ok: result.Reached}
	if result.Reached {
		answer.I = peerapi.NewOptInt64(int64(result.Incarnation))
	}
	return answer, nil
}

// GetManifest implements GET /peer/v1/bundle/manifest.
func (s *service) GetManifest(context.Context) (*peerapi.SignedManifest, error) {
	manifest, ok := s.handlers.Manifest()
	if !ok {
		return nil, eris.Wrap(ErrNotFound, "no bundle is in force")
	}
	return manifestToWire(manifest), nil
}

// GetSection implements GET /peer/v1/bundle/sections/{digest}.
func (s *service) GetSection(_ context.Context, params peerapi.GetSectionParams) (peerapi.GetSectionOK, error) {
	section, ok := s.handlers.Section(params.Digest)
	if !ok {
		return peerapi.GetSectionOK{}, eris.Wrapf(ErrNotFound, "section %s", params.Digest)
	}
	return peerapi.GetSectionOK{Data: bytes.NewReader(section)}, nil
}

// GetDecisions implements GET /peer/v1/decisions/{request_id}.
func (s *service) GetDecisions(_ context.Context, params peerapi.GetDecisionsParams) (*peerapi.DecisionLines, error) {
	lines := s.handlers.Decisions(fleet.RequestID(params.RequestID))
	if lines == nil {
		lines = []string{}
	}
	return &peerapi.DecisionLines{Lines: lines}, nil
}

// NewError implements the generated interface.
func (s *service) NewError(_ context.Context, err error) *peerapi.ErrorStatusCode {
	status, code, message := describe(err)
	return &peerapi.ErrorStatusCode{
		StatusCode: status,
		Response:   peerapi.ErrorResponse{Error: peerapi.ErrorResponseError{Code: code, Message: message}},
	}
}

// describe says nothing about why a caller was refused, and nothing about unexpected errors.
func describe(err error) (status int, code, message string) {
	var security *ogenerrors.SecurityError
	var tooLarge *http.MaxBytesError
	var decode *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	switch {
	case errors.As(err, &security):
		return http.StatusUnauthorized, "unauthorized", "a bearer token of a peer is required"
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "too_large", "request body exceeds the limit"
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound, "not_found", err.Error()
	case errors.Is(err, ErrFull):
		return http.StatusInsufficientStorage, "full", "disk is full"
	case errors.Is(err, ErrDigest):
		return http.StatusBadRequest, "digest_mismatch", err.Error()
	case errors.Is(err, ErrMalformed), errors.As(err, &decode), errors.As(err, &params):
		return http.StatusBadRequest, "malformed", err.Error()
	}
	return http.StatusInternalServerError, "internal", "internal error"
}

// writeError answers errors that the generated code meets before it calls the service.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status, code, message := describe(err)
	body, marshalErr := json.Marshal(&peerapi.ErrorResponse{Error: peerapi.ErrorResponseError{Code: code, Message: message}})
	if marshalErr != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the peer may be gone; nothing else to do
}

var _ peerapi.Handler = (*service)(nil)

// ReadHeaderTimeout is for the http.Server of the peers' listener, against peers that connect and send nothing.
const ReadHeaderTimeout = 2 * time.Second
