// Package quota enforces rate limits of client accounts over the whole fleet. Each account has a coordinator, which keeps the account's token bucket.
// The other instances report to it how many requests they admitted, and decide on requests by extrapolating its replies. The package does no I/O, has
// no clock and starts no goroutines; its types are not safe for concurrent use.
package quota

import (
	"slices"
	"sort"

	"eelgrassproxy.example/core/accounts"
	"eelgrassproxy.example/core/rendezvous"
)

// Fleet is the set of instances as one of them sees it. It is immutable.
type Fleet struct {
	self       string
	known      bool
	registered []string
	reachable  []string
	candidates []string
}

// NewFleet returns the fleet as the instance self sees it. registered has all serving instances, including silent ones whose membership records have
// not expired. reachable has those of them that are heard from, and candidates those that may be coordinators: they are heard from, have a
// configuration and are not draining. All are sorted in place. known is false if the instance does not know the number of serving instances, for
// example at its start; it then has no guaranteed share.
func NewFleet(self string, known bool, registered, reachable, candidates []string) *Fleet {
	sort.Strings(registered)
	sort.Strings(reachable)
	sort.Strings(candidates)
	return &Fleet{self: self, known: known, registered: registered, reachable: reachable, candidates: candidates}
}

// Known reports whether the instance knows the number of serving instances.
func (f *Fleet) Known() bool { return f.known }

// Equal reports whether two fleets have the same instances.
func (f *Fleet) Equal(other *Fleet) bool {
	return f.known == other.known && slices.Equal(f.registered, other.registered) && slices.Equal(f.reachable, other.reachable) &&
		slices.Equal(f.candidates, other.candidates)
}

// Size returns the number of registered serving instances, and how many of them are reachable.
func (f *Fleet) Size() (registered, reachable int) { return len(f.registered), len(f.reachable) }

// Coordinator returns the coordinator of an account, or "" if there is none.
func (f *Fleet) Coordinator(account string) string {
	if !f.known {
		return ""
	}
	best, score := "", uint64(0)
	for _, id := range f.candidates {
		if s := rendezvous.Score(account, id); best == "" || s > score {
			best, score = id, s
		}
	}
	return best
}

// boundSlack is the constant term of the bound on the requests of a window.
const boundSlack = 20

// holders returns the instances that have a guaranteed share of an account's rate. An instance on its share may admit one request at once after a
// long pause, so that more instances than the slack of the bound and the burst allow would break the bound for small accounts.
func (f *Fleet) holders(account string, limit accounts.Quota) []string {
	limitTo := boundSlack + int(min(burstOf(limit), 1<<20))
	if len(f.registered) <= limitTo {
		return f.registered
	}
	return rendezvous.Rendezvous(account, f.registered, limitTo)
}

// share returns this instance's guaranteed share of an account's rate, in requests a second.
func (f *Fleet) share(account string, limit accounts.Quota) float64 {
	if !f.known {
		return 0
	}
	holders := f.holders(account, limit)
	if !slices.Contains(holders, f.self) {
		return 0
	}
	return limit.Rate / float64(len(holders))
}

// withheld returns the instances that may be spending their guaranteed shares without a coordinator, and the share of each of them.
func (f *Fleet) withheld(account string, limit accounts.Quota) (unreachable []string, share float64) {
	if len(f.reachable) >= len(f.registered) {
		return nil, 0
	}
	holders := f.holders(account, limit)
	for _, id := range holders {
		if _, ok := slices.BinarySearch(f.reachable, id); !ok {
			unreachable = append(unreachable, id)
		}
	}
	return unreachable, limit.Rate / float64(len(holders))
}

// reachableFraction returns the fraction of the registered instances that are reachable.
func (f *Fleet) reachableFraction() float64 {
	if !f.known || len(f.registered) == 0 {
		return 0
	}
	return min(float64(len(f.reachable))/float64(len(f.registered)), 1)
}

// burstOf returns the size of an account's bucket: at least one request, since nothing would fit otherwise.
func burstOf(limit accounts.Quota) float64 { return max(limit.Burst, 1) }

// floorOf returns the lowest level of an account's bucket. It bounds for how long a faulty report can block an account.
func floorOf(limit accounts.Quota) float64 { return -(5*limit.Rate + burstOf(limit)) }
