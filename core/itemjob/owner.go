package itemjob

import (
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// Candidate is an instance that may own a new job.
type Candidate struct {
	fleet.Member
	Waiting int64 // tokens of the unfinished items of its jobs, on all routes
}

// ownerMargin is the ratio of the load of another instance to that of the one that has the job below which the job moves there: passing it on
// takes a call, and loads are heard a quarter of a second late.
const ownerMargin = 0.7

// Owner returns the instance that is to own a job of some tokens that arrived at self. It answers a working set whose instances run items at
// targets of their own: jobs arrive unevenly, and items that wait for one instance would be late while the targets of others are idle.
func Owner(self Candidate, others []Candidate, tokens int64) Candidate {
	best, least := self, ownerMargin*load(self, tokens)
	for _, c := range others {
		if l := load(c, tokens); l < least || l == least && best.ID != self.ID && c.ID < best.ID {
			best, least = c, l
		}
	}
	return best
}

// load is the tokens for each core that wait at an instance once it has the job. Targets are divided by the same capacities.
func load(c Candidate, tokens int64) float64 {
	return float64(c.Waiting+tokens) / membership.CapacityOf(c.Member)
}
