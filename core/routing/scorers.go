package routing

import "slices"

const (
	// affinityWidth is the number of targets that a prefix is kept on.
	affinityWidth = 2
	// loadBound is how far above the mean utilisation a preferred target may be before affinity stops counting for it.
	loadBound = 1.25
	// loadSlack lets affinity count on a nearly idle fleet, where the mean is close to zero.
	loadSlack = 0.125
	// affinityCeiling is the utilisation, of the pool or of the target, above which only load counts: a saved prefill is worth less than
	// a place in the batch.
	affinityCeiling = 0.9
)

// Weights of the default scorers. Load comes first: a cache hit saves part of a prefill, while a wait behind a full batch lasts
// as long as whole answers.
const (
	weightLoad      = 1.0
	weightPrefix    = 0.25
	weightResidency = 0.15
	weightDistance  = 0.2
)

// DefaultScorers returns the scorers of the request path with their weights.
func DefaultScorers() []WeightedScorer {
	return []WeightedScorer{
		{LoadScorer{}, weightLoad},
		{PrefixScorer{}, weightPrefix},
		{ResidencyScorer{}, weightResidency},
		{DistanceScorer{}, weightDistance},
	}
}

// LoadScorer rates by free capacity: 1 for an idle target, 0.5 for one that is exactly full, towards 0 as requests wait.
// A target without a report is rated by this instance's own requests in flight alone.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate, _ *Pool) float64 {
	return 1 / (1 + c.Utilisation())
}

// PrefixScorer rates 1 for the first preferred target of the request's prefix and 0.5 for the second, if their load is within the
// bound, and 0 for others, for requests without a prefix, and on a pool that is nearly full.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(req *Request, c *Candidate, pool *Pool) float64 {
	if req.Prefix == 0 || pool.MeanLoad > affinityCeiling {
		return 0
	}
	if c.Utilisation() > min(pool.MeanLoad*loadBound+loadSlack, affinityCeiling) {
		return 0
	}
	if pool.affinity == nil {
		pool.affinity = preferred(req.Prefix, pool.Kept)
	}
	index := slices.Index(pool.affinity, c.Target)
	if index < 0 {
		return 0
	}
	return 1 / float64(1+index)
}

// ResidencyScorer rates 1 when the adapter is loaded and 0 when the engine would have to load it.
type ResidencyScorer struct{}

// Name implements Scorer.
func (ResidencyScorer) Name() string { return "residency" }

// Score implements Scorer.
func (ResidencyScorer) Score(req *Request, c *Candidate, _ *Pool) float64 {
	if req.Adapter == "" || c.Residency == Resident {
		return 1
	}
	return 0
}

// DistanceScorer rates 1 in the same failure domain, 0.9 in the same region and 0 across the region link, which is slow and paid
// by volume. An unknown failure domain counts as another region.
type DistanceScorer struct{}

// Name implements Scorer.
func (DistanceScorer) Name() string { return "distance" }

// Score implements Scorer.
func (DistanceScorer) Score(_ *Request, c *Candidate, _ *Pool) float64 {
	return distanceScores[c.Distance]
}

var distanceScores = [...]float64{1, 0.9, 0}
