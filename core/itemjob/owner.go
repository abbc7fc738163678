package itemjob

import (
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// Candidate is an instance that may own a new job.
type Candidate struct {
	fleet.Member
	Waiting int64 // tokens of the unfinished items, waiting or running, of its jobs, over all routes
}

// moveLoadRatio is the ratio of another instance's load to this instance's load below which a job moves to the other one. It is below 1 because
// passing a job on costs a call, and because the reported loads are a quarter of a second old.
const moveLoadRatio = 0.7

// ChooseOwner chooses the instance that will own a job with the given number of tokens that was submitted to self: the one with the least load, or
// self if no other load is below moveLoadRatio times its own. Each instance of the working set runs items on its own targets. Jobs arrive unevenly,
// so without this step items would be late at one instance while the targets of others are idle.
func ChooseOwner(self Candidate, others []Candidate, tokens int64) Candidate {
	best, least := self, moveLoadRatio*loadWith(self, tokens)
	for _, c := range others {
		if l := loadWith(c, tokens); l < least || l == least && best.ID != self.ID && c.ID < best.ID {
			best, least = c, l
		}
	}
	return best
}

// loadWith returns the unfinished tokens per core of processor capacity that the instance would have with the job. The targets are divided among
// the instances in proportion to the same capacities.
func loadWith(c Candidate, tokens int64) float64 {
	return float64(c.Waiting+tokens) / membership.CapacityOf(c.Member)
}
