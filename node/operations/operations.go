// Package operations serves the operators' listener: the state of the fleet, the decisions about a request, rolling of bundles,
// jobs, health and metrics.
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

// Errors that NewError maps to a status and a code of the operator API.
var (
	// ErrUnauthorized means that the bearer token does not match the token of any operator.
	ErrUnauthorized = eris.New("operator token is not known")
	// ErrNotFound means that there is no object with the given name.
	ErrNotFound = eris.New("not found")
	// ErrInvalid means that the content of the request, or the handler's configuration, is invalid.
	ErrInvalid = eris.New("invalid request")
	// ErrUnavailable means that the store cannot be reached.
	ErrUnavailable = eris.New("store cannot be reached")
)

// PeerDecisions fetches the decision lines about a request from the instance at peerAddress.
type PeerDecisions func(ctx context.Context, peerAddress string, request fleet.RequestID) ([]string, error)

// RolledFunc is called with a bundle that this instance has just rolled, and the delta that led to it.
type RolledFunc func(next *bundle.Active, delta bundle.Delta)

// Parts holds the dependencies and the configuration of a Handler.
type Parts struct {
	Instance    fleet.InstanceID
	Board       *blackboard.Board
	Store       kv.Store
	Verifier    bundle.Verifier
	Decisions   PeerDecisions
	OnRolled    RolledFunc // if nil, the bundle controller finds a rolled delta in the store
	Jobs        Jobs       // if nil, all job calls fail with ErrNotFound
	TokenSHA256 []string   // hexadecimal SHA-256 digests of the accepted tokens
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

// NewHandler returns a handler with the given parts, or ErrInvalid if a token digest is not hexadecimal.
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

// HandleBearer implements operator.SecurityHandler: it returns ErrUnauthorized if the token is not accepted. It always compares
// all digests in constant time, so that the response time does not reveal which one matched.
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

// GetStatus implements operator.Handler: it returns the state of the fleet as this instance has it.
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

// storeAvailable reports whether the store responds to a read.
func (h *Handler) storeAvailable(ctx context.Context) bool {
	_, err := h.Store.Get(kv.WithPurpose(ctx, "status"), "/eelgrass/bundle/head")
	return err == nil || errors.Is(err, kv.ErrNotFound)
}

func (h *Handler) targetStatus(t *blackboard.TargetEntry) operator.TargetStatus {
	load := h.Board.Loads.Get(t.ID)
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

// NewError implements operator.Handler: it maps err to an error response. Errors of unknown kind are logged and get the status
// 500.
func (h *Handler) NewError(_ context.Context, err error) *operator.ErrorStatusCode {
	out := &operator.ErrorStatusCode{StatusCode: http.StatusInternalServerError}
	out.Response.Error = operator.Error{Code: "internal", Message: err.Error()}
	switch {
	case errors.Is(err, ErrUnauthorized), isSecurityError(err):
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
