package slots

import (
	"cmp"
	"slices"
	"time"
)

// Rank is the priority of a request under shortage. Lower values go first, and the account's before the route's.
type Rank struct{ Account, Route int }

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Account, other.Account), cmp.Compare(r.Route, other.Route))
}

// Waiting is an online request that waits for a slot.
type Waiting struct {
	Objective time.Time // latest time at which the first event is in time
	Deadline  time.Time // time after which no caller waits for the response
	Rank      Rank
	Account   string  // of the caller; empty without one
	Weight    float64 // share of the account relative to others; 0 means 1
	Tokens    int64   // of the prompt and the longest output
	arrival   uint64  // sequence number in the queue
}

// lowerRankInterval is the number of slots of which the requests below the highest waiting rank get at least one, so that they do not starve.
const lowerRankInterval = 8

// Queue orders the online requests of an instance that wait while all targets are full. In a burst beyond the capacity of the fleet, serving
// in order of arrival makes each request wait behind ones that are late already, until all are late. The queue therefore serves the requests
// that can still be in time first, and late ones only when none of these waits.
//
// Among these, it serves by rank, and in a rank the accounts first that got the least of the targets' work lately, so that an account that sends more
// than its share delays its own requests. Requests of one account, or without one, are served by objective, and late ones by deadline. It is not safe
// for concurrent use; its owner must serialize all calls.
type Queue struct {
	firstEventDelay time.Duration // time from the start in a free slot to the first event
	shares          *Shares
	waiting         []*Waiting
	arrivals        uint64
	sinceLowerRank  int // slots that the highest rank got since a lower one got one or none waited
}

// NewQueue returns an empty queue. firstEventDelay is the time that a target with a free slot needs until the first event of a response. shares may
// be nil: all accounts then count as having got the same.
func NewQueue(firstEventDelay time.Duration, shares *Shares) *Queue {
	return &Queue{firstEventDelay: firstEventDelay, shares: shares}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a request.
func (q *Queue) Add(w *Waiting) {
	q.arrivals++
	w.arrival = q.arrivals
	q.waiting = append(q.waiting, w)
}

// Remove removes a request from the queue. It does nothing if the request is not queued.
func (q *Queue) Remove(w *Waiting) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiting) bool { return other == w })
}

// Start removes a request that got a slot.
func (q *Queue) Start(w *Waiting) {
	highest, several := q.highestRank(nil)
	if several && w.Rank == highest {
		q.sinceLowerRank++
	} else {
		q.sinceLowerRank = 0
	}
	q.Remove(w)
}

// Next returns the request that gets the next free slot, without removing it, or nil if the queue is empty.
func (q *Queue) Next(now time.Time) *Waiting { return q.NextExcept(nil, now) }

// NextExcept is Next without the requests in passedOver, which cannot use the free slots.
func (q *Queue) NextExcept(passedOver map[*Waiting]bool, now time.Time) *Waiting {
	highest, several := q.highestRank(passedOver)
	lowerOnly := several && q.sinceLowerRank >= lowerRankInterval-1
	var best *candidate
	for _, w := range q.waiting {
		if passedOver[w] || lowerOnly && w.Rank == highest {
			continue
		}
		if c := q.candidate(w, now); best == nil || c.before(best) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	return best.Waiting
}

// Ahead returns the number of waiting requests that are served before a new one.
func (q *Queue) Ahead(w *Waiting, now time.Time) int {
	added := q.candidate(w, now)
	added.arrival = q.arrivals + 1
	ahead := 0
	for _, other := range q.waiting {
		if c := q.candidate(other, now); c.before(&added) {
			ahead++
		}
	}
	return ahead
}

// Last returns the request that is served last, or nil if the queue is empty.
func (q *Queue) Last(now time.Time) *Waiting {
	var last *candidate
	for _, w := range q.waiting {
		if c := q.candidate(w, now); last == nil || last.before(&c) {
			last = &c
		}
	}
	if last == nil {
		return nil
	}
	return last.Waiting
}

// highestRank returns the highest rank of the waiting requests outside of passedOver, and whether there are lower ones as well.
func (q *Queue) highestRank(passedOver map[*Waiting]bool) (highest Rank, several bool) {
	first := true
	for _, w := range q.waiting {
		switch {
		case passedOver[w]:
		case first:
			highest, first = w.Rank, false
		case w.Rank != highest:
			several = true
			if w.Rank.compare(highest) < 0 {
				highest = w.Rank
			}
		}
	}
	return highest, several
}

// candidate is a waiting request with what its place in the order depends on at a moment.
type candidate struct {
	*Waiting
	arrival  uint64
	inTime   bool
	attained float64
}

func (q *Queue) candidate(w *Waiting, now time.Time) candidate {
	c := candidate{Waiting: w, arrival: w.arrival, inTime: !now.Add(q.firstEventDelay).After(w.Objective)}
	if q.shares != nil && w.Account != "" {
		c.attained = q.shares.Attained(w.Account, w.Weight, now)
	}
	return c
}

func (c *candidate) before(other *candidate) bool {
	if c.inTime != other.inTime {
		return c.inTime
	}
	latest, otherLatest := c.Deadline, other.Deadline
	if c.inTime {
		latest, otherLatest = c.Objective, other.Objective
	}
	return cmp.Or(
		c.Rank.compare(other.Rank),
		cmp.Compare(c.attained, other.attained),
		latest.Compare(otherLatest),
		cmp.Compare(c.arrival, other.arrival),
	) < 0
}
