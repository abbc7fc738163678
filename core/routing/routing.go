// Package routing chooses the target of a request: filters drop targets that must not be used, scorers rate the others, and a picker
// chooses among the rated ones. The Decision records every candidate with its score or the reason for dropping it.
package routing

import (
	"math/rand/v2"

	"eelgrassproxy.example/core/fleet"
)

// Request has the properties of a request that routing depends on.
type Request struct {
	ID            fleet.RequestID
	Kind          fleet.TargetKind
	Service       string // for KindService
	Base          string // for KindEngine: base model that the engine must have loaded
	Version       string // for KindEngine: version of the base model
	Adapter       string // for KindEngine: empty if none is needed
	FailureDomain fleet.FailureDomain
	Prefix        Prefix
	Excluded      []fleet.TargetID // targets to which this request was sent already
	Batch         bool
}

// Reason is a short text that says why a candidate was dropped or chosen. It appears in decision logs.
type Reason string

// Filter drops candidates that must not be used.
type Filter interface {
	Name() string
	// Keep returns false and the reason for a candidate that must not be used.
	Keep(*Request, *Candidate) (bool, Reason)
}

// Scorer rates a candidate from 0 (worst) to 1 (best). Each scorer documents what it returns if the data that it needs is missing.
type Scorer interface {
	Name() string
	Score(*Request, *Candidate, *Pool) float64
}

// WeightedScorer is a scorer with the factor of its score in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses one of the scored candidates and returns its index with the reason. There is always at least one candidate.
type Picker interface {
	Name() string
	Pick(*Request, []Scored, *rand.Rand) (int, Reason)
}

// Scored is a candidate with its weighted score.
type Scored struct {
	Candidate *Candidate
	Score     float64
}

// Pool holds the candidates that all filters keep, and values over all of them for the scorers.
type Pool struct {
	Kept             []*Candidate
	MeanLoad         float64          // mean of Candidate.Utilisation over Kept
	preferredTargets []fleet.TargetID // preferred targets of the request's prefix; nil until PrefixScorer computes them
}

// CandidateView is the record of one candidate in a decision.
type CandidateView struct {
	Target   fleet.TargetID `json:"target"`
	Score    float64        `json:"score,omitempty"`
	Load     float64        `json:"load"`
	Rejected Reason         `json:"rejected,omitempty"`
}

// Decision is the result of routing one attempt of a request. Chosen is nil if the filters dropped all candidates.
type Decision struct {
	Request    fleet.RequestID
	Chosen     *Candidate
	Reason     Reason
	Candidates []CandidateView
}

// Router decides with its filters, in their order, its scorers and its picker. It is immutable and safe for concurrent use, but the
// random source passed to Decide is not.
type Router struct {
	filters []Filter
	scorers []WeightedScorer
	picker  Picker
}

// NewRouter returns a router with the given filters, scorers and picker.
func NewRouter(filters []Filter, scorers []WeightedScorer, picker Picker) *Router {
	return &Router{filters: filters, scorers: scorers, picker: picker}
}

// Decide chooses a target among the candidates.
func (r *Router) Decide(req *Request, candidates []Candidate, rng *rand.Rand) Decision {
	decision := Decision{Request: req.ID, Candidates: make([]CandidateView, len(candidates))}
	pool := r.filter(req, candidates, decision.Candidates)
	if len(pool.Kept) == 0 {
		decision.Reason = "no candidate left"
		return decision
	}
	scored := r.score(req, pool)
	index, reason := r.picker.Pick(req, scored, rng)
	decision.Chosen = scored[index].Candidate
	decision.Reason = reason
	recordScores(decision.Candidates, scored)
	return decision
}

func (r *Router) filter(req *Request, candidates []Candidate, views []CandidateView) *Pool {
	pool := &Pool{Kept: make([]*Candidate, 0, len(candidates))}
	for i := range candidates {
		c := &candidates[i]
		views[i] = CandidateView{Target: c.Target, Load: c.Load}
		if reason := r.reject(req, c); reason != "" {
			views[i].Rejected = reason
			continue
		}
		pool.Kept = append(pool.Kept, c)
	}
	pool.MeanLoad = meanUtilisation(pool.Kept)
	return pool
}

func (r *Router) reject(req *Request, c *Candidate) Reason {
	for _, f := range r.filters {
		if keep, reason := f.Keep(req, c); !keep {
			return reason
		}
	}
	return ""
}

func (r *Router) score(req *Request, pool *Pool) []Scored {
	scored := make([]Scored, len(pool.Kept))
	for i, c := range pool.Kept {
		scored[i].Candidate = c
		for _, s := range r.scorers {
			scored[i].Score += s.Weight * s.Scorer.Score(req, c, pool)
		}
	}
	return scored
}

// recordScores copies the scores into the views that are not rejected, which are in the same order as the scored candidates.
func recordScores(views []CandidateView, scored []Scored) {
	next := 0
	for i := range views {
		if views[i].Rejected != "" {
			continue
		}
		views[i].Score = scored[next].Score
		next++
	}
}
