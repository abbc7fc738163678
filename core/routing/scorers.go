package routing

import "slices"

const (
	// affinityWidth is the number of preferred targets of a prefix.
	affinityWidth = 2
	// affinityLoadFactor is the multiple of the mean utilisation above which a preferred target loses its affinity score.
	affinityLoadFactor = 1.25
	// affinityLoadSlack is added to that bound, so that affinity also applies in a nearly idle fleet, where the mean is close to zero.
	affinityLoadSlack = 0.125
	// maxAffinityLoad is the utilisation, of the pool or of the target, above which affinity does not count: then a saved prefill is worth
	// less than a place in the engine's running batch.
	maxAffinityLoad = 0.9
)

// Weights of the default scorers. Load has the largest weight: a cache hit saves part of a prefill, while waiting behind a full batch
// takes as long as whole responses.
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

// LoadScorer rates by free capacity: 1 for an idle target, 0.5 for one that is exactly full, and towards 0 the more requests wait.
// The load of a target without a report is the number of this instance's own requests in flight there.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate, _ *Pool) float64 {
	return 1 / (1 + c.Utilisation())
}

// PrefixScorer rates the first preferred target of the request's prefix 1 and the second 0.5, each only if its load is within the
// bound. All other targets get 0, and so does every target if the request has no prefix or the pool is nearly full.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(req *Request, c *Candidate, pool *Pool) float64 {
	if req.Prefix == 0 || pool.MeanLoad > maxAffinityLoad {
		return 0
	}
	if c.Utilisation() > min(pool.MeanLoad*affinityLoadFactor+affinityLoadSlack, maxAffinityLoad) {
		return 0
	}
	if pool.preferredTargets == nil {
		pool.preferredTargets = preferred(req.Prefix, pool.Kept)
	}
	index := slices.Index(pool.preferredTargets, c.Target)
	if index < 0 {
		return 0
	}
	return 1 / float64(1+index)
}

// ResidencyScorer rates 1 if the adapter is loaded or none is needed, and 0 if the engine would have to load it.
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

// DistanceScorer rates 1 in the same failure domain, 0.9 in the same region, and 0 in another region, because the link between
// regions is slow and paid by volume. An unknown failure domain counts as another region.
type DistanceScorer struct{}

// Name implements Scorer.
func (DistanceScorer) Name() string { return "distance" }

// Score implements Scorer.
func (DistanceScorer) Score(_ *Request, c *Candidate, _ *Pool) float64 {
	return distanceScores[c.Distance]
}

var distanceScores = [...]float64{1, 0.9, 0}
