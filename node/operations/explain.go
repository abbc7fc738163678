package operations

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/decisionlog"
)

const (
	// explainConcurrency is the maximum number of peers queried at once.
	explainConcurrency = 16
	// explainTimeout is the maximum time to wait for all peers. The decisions of peers that have not responded by then are left out.
	explainTimeout = 2 * time.Second
)

// ExplainRequest implements operator.Handler: it collects the decisions about a request from this instance and its peers and
// returns them in order of time. Decisions of peers that cannot be reached, and lines that cannot be decoded, are left out. It
// returns ErrNotFound if no instance has any.
func (h *Handler) ExplainRequest(ctx context.Context, params operator.ExplainRequestParams) (*operator.DecisionList, error) {
	request := fleet.RequestID(params.RequestID)
	lines := append(h.Board.Decisions.Find(request), h.peerLines(ctx, request)...)
	if len(lines) == 0 {
		return nil, ErrNotFound
	}
	list := &operator.DecisionList{}
	for _, line := range lines {
		var entry decisionlog.Entry
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			continue
		}
		list.Decisions = append(list.Decisions, decisionView(entry))
	}
	slices.SortStableFunc(list.Decisions, func(a, b operator.Decision) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return list, nil
}

// peerLines returns the decision lines about the request from all peers that are not dead, in no particular order. Peers that fail
// are skipped.
func (h *Handler) peerLines(ctx context.Context, request fleet.RequestID) []string {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var (
		mu    sync.Mutex // guards lines
		lines []string
		group errgroup.Group
	)
	group.SetLimit(explainConcurrency)
	for _, m := range h.Board.Members.All() {
		if m.ID == h.Instance || m.State == fleet.MemberDead {
			continue
		}
		group.Go(func() error {
			found, err := h.Decisions(ctx, m.PeerAddress, request)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, found...)
			return nil
		})
	}
	_ = group.Wait()
	return lines
}

func decisionView(e decisionlog.Entry) operator.Decision {
	view := operator.Decision{
		At:         e.At,
		Instance:   string(e.Instance),
		RequestID:  string(e.Request),
		Kind:       string(e.Kind),
		Reason:     e.Reason,
		Candidates: []operator.CandidateView{},
	}
	if e.Target != "" {
		view.Target.SetTo(string(e.Target))
	}
	for _, c := range e.Candidates {
		candidate := operator.CandidateView{Target: string(c.Target)}
		if c.Rejected != "" {
			candidate.Rejected.SetTo(string(c.Rejected))
		} else {
			candidate.Score.SetTo(c.Score)
		}
		view.Candidates = append(view.Candidates, candidate)
	}
	return view
}
