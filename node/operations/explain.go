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
	// explainConcurrency bounds the peers asked at once.
	explainConcurrency = 16
	// explainTimeout bounds the wait for all peers; those that do not answer are left out.
	explainTimeout = 2 * time.Second
)

// ExplainRequest implements operator.Handler: it gathers the decisions about a request from all instances.
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
