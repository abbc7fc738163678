package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

// nearBestMargin is the difference to the best score within which a candidate counts as equally good. Scores depend on lagging reports,
// so that small differences mean nothing, and a random choice keeps instances from herding onto one target.
const nearBestMargin = 0.04

// SpreadPicker chooses at random among the candidates whose score is near the best.
type SpreadPicker struct{}

// Name implements Picker.
func (SpreadPicker) Name() string { return "spread" }

// Pick implements Picker.
func (SpreadPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) (int, Reason) {
	best := bestIndex(scored)
	chosen, seen := best, 0
	for i := range scored {
		if scored[i].Score < scored[best].Score-nearBestMargin {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	if seen == 1 {
		return chosen, "best score"
	}
	return chosen, "random among near-best scores"
}

// TwoChoicesPicker draws two candidates at random, possibly the same one twice, and chooses the one with the higher score.
type TwoChoicesPicker struct{}

// Name implements Picker.
func (TwoChoicesPicker) Name() string { return "two-choices" }

// Pick implements Picker.
func (TwoChoicesPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) (int, Reason) {
	a := rng.IntN(len(scored))
	b := rng.IntN(len(scored))
	if scored[b].Score > scored[a].Score {
		a = b
	}
	return a, "better of two"
}

// BestPicker chooses the candidate with the highest score; among equals the first.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(_ *Request, scored []Scored, _ *rand.Rand) (int, Reason) {
	return bestIndex(scored), "best score"
}

// RandomPicker chooses at random without regard to the scores, as a baseline for measurements.
type RandomPicker struct{}

// Name implements Picker.
func (RandomPicker) Name() string { return "random" }

// Pick implements Picker.
func (RandomPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) (int, Reason) {
	return rng.IntN(len(scored)), "random"
}

// RoundRobinPicker chooses the candidates in turn without regard to the scores, as a baseline for measurements.
type RoundRobinPicker struct{ next atomic.Uint64 }

// Name implements Picker.
func (*RoundRobinPicker) Name() string { return "round-robin" }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Request, scored []Scored, _ *rand.Rand) (int, Reason) {
	return int((p.next.Add(1) - 1) % uint64(len(scored))), "next in turn"
}

func bestIndex(scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Score > scored[best].Score {
			best = i
		}
	}
	return best
}
