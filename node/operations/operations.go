// Package operations is the operators' listener: the state of the fleet, explained decisions, rolling of bundles, jobs, health and
// metrics.
package operations

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
)

// Errors of this layer.
var (
	// ErrUnauthorized means that the bearer token is none of the operators'.
	ErrUnauthorized = eris.New("operator token is not known")
	// ErrNotFound means that nothing is known under the given name.
	ErrNotFound = eris.New("not found")
	// ErrInvalid means that the request's content is not acceptable.
	ErrInvalid = eris.New("invalid request")
	// ErrUnavailable means that the store cannot be reached.
	ErrUnavailable = eris.New("store is unavailable")
)

// PeerDecisions asks another instance for its decision lines about a request.
type PeerDecisions func(ctx context.Context, peerAddress string, request fleet.RequestID) ([]string, error)

// Rolled takes a bundle that this instance has just rolled by delta.
type Rolled func(next *bundle.Active, delta bundle.Delta)

// Parts are what the handler works with.
type Parts struct {
	Instance    fleet.InstanceID
	Board       *blackboard.Board
	Store       kv.Store
	Verifier    bundle.Verifier
	Decisions   PeerDecisions
	Rolled      Rolled   // nil: a rolled delta is left to the bundle controller to find
	Jobs        Jobs     // nil: this instance answers no questions about jobs
	TokenSHA256 []string // hexadecimal digests of accepted tokens
}

// Handler implements the generated interfaces of the operator API.
type Handler struct {
	Parts
	tokens [][]byte
}

var (
	_ operator.Handler         = (*Handler)(nil)
	_ operator.SecurityHandler = (*Handler)(nil)
)

// NewHandler returns a handler of the parts.
func NewHandler(parts Parts) (*Handler, error) {
	h := &Handler{Parts: parts}
	for _, text := range parts.TokenSHA256 {
		digest, err := hex.DecodeString(text)
		if err != nil {
			return nil, eris.Wrapf(ErrInvalid, "operator token digest %q", text)
		}
		h.tokens = append(h.tokens, digest)
	}
	return h, nil
}

// HandleBearer implements operator.SecurityHandler. All digests are compared, so that the time does not tell which one matched.
func (h *Handler) HandleBearer(ctx context.Context, _ operator.OperationName, t operator.Bearer) (context.Context, error) {
	digest := sha256.Sum256([]byte(t.Token))
	matched := 0
	for _, known := range h.tokens {
		matched |= subtle.ConstantTimeCompare(digest[:], known)
	}
	if matched == 0 {
		return ctx, ErrUnauthorized
	}
	return ctx, nil
}

// GetStatus implements operator.Handler.
func (h *Handler) GetStatus(ctx context.Context) (*operator.Status, error) {
	status := &operator.Status{
		Instance:       string(h.Instance),
		Generation:     int64(h.Board.Bundle.Generation()),
		StoreAvailable: h.storeAvailable(ctx),
		Instances:      []operator.InstanceStatus{},
		Targets:        []operator.TargetStatus{},
	}
	for _, m := range h.Board.Members.All() {
		status.Instances = append(status.Instances, operator.InstanceStatus{
			ID:            string(m.ID),
			Address:       m.CallerAddress,
			FailureDomain: string(m.FailureDomain),
			State:         m.State.String(),
			Generation:    int64(m.Generation),
		})
	}
	for _, t := range h.Board.Targets.All() {
		status.Targets = append(status.Targets, h.targetStatus(t))
	}
	return status, nil
}

func (h *Handler) storeAvailable(ctx context.Context) bool {
	_, err := h.Store.Get(kv.WithPurpose(ctx, "status"), "/eelgrass/bundle/head")
	return err == nil || errors.Is(err, kv.ErrNotFound)
}

func (h *Handler) targetStatus(t *blackboard.TargetEntry) operator.TargetStatus {
	load := h.Board.Loads.View(t.ID)
	status := operator.TargetStatus{
		ID:            string(t.ID),
		Address:       t.Address,
		FailureDomain: string(t.FailureDomain),
		State:         string(t.State),
		Kind:          string(t.Kind),
		Running:       load.Report.Running,
		Waiting:       load.Report.Waiting,
		InFlight:      load.InFlight,
		Models:        []string{},
	}
	for _, m := range t.Models {
		status.Models = append(status.Models, m.Model+"@"+m.Version)
	}
	if t.Kind == fleet.KindService {
		status.Models = append(status.Models, t.Service)
	}
	return status
}

// NewError implements operator.Handler.
func (h *Handler) NewError(_ context.Context, err error) *operator.ErrorStatusCode {
	out := &operator.ErrorStatusCode{StatusCode: http.StatusInternalServerError}
	out.Response.Error = operator.Error{Code: "internal", Message: err.Error()}
	switch {
	case errors.Is(err, ErrUnauthorized), isSecurity(err):
		out.StatusCode, out.Response.Error.Code = http.StatusUnauthorized, "unauthorized"
	case errors.Is(err, ErrNotFound):
		out.StatusCode, out.Response.Error.Code = http.StatusNotFound, "not_found"
	case errors.Is(err, ErrInvalid):
		out.StatusCode, out.Response.Error.Code = http.StatusBadRequest, "invalid_request"
	case errors.Is(err, ErrUnavailable):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "store_unavailable"
	case describeRoll(err, out), describeJob(err, out):
	default:
		klog.ErrorS(err, "Operator call failed")
	}
	return out
}
