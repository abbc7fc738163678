package membership

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
)

// updateQueue holds the updates that are still to be spread. Exactly one of the fields member and target of an item is set. A
// newer update replaces the older one of the same member or target.
type updateQueue struct {
	members map[fleet.InstanceID]*queued
	targets map[fleet.TargetID]*queued
	next    uint64
}

type queued struct {
	member *Update
	target *TargetUpdate
	sent   int
	order  uint64
	join   bool // news of a first incarnation; sent after everything else
}

func newUpdateQueue() updateQueue {
	return updateQueue{members: map[fleet.InstanceID]*queued{}, targets: map[fleet.TargetID]*queued{}}
}

func (q *updateQueue) addMember(u Update) {
	q.next++
	q.members[u.ID] = &queued{member: &u, order: q.next}
}

// addJoin queues the news of a member's first incarnation. When a whole fleet starts, these fill the messages for minutes, while
// every pair of members also introduces itself directly; news of losses and drains must not wait behind them.
func (q *updateQueue) addJoin(u Update) {
	q.next++
	q.members[u.ID] = &queued{member: &u, order: q.next, join: true}
}

func (q *updateQueue) addTarget(u TargetUpdate) {
	q.next++
	q.targets[u.ID] = &queued{target: &u, order: q.next}
}

func (q *updateQueue) dropTarget(id fleet.TargetID) { delete(q.targets, id) }

// insertBest keeps the first limit items in sending order. Queues of hundreds of items after the start of a whole fleet made
// sorting them all the largest cost of a message.
func insertBest(best []*queued, item *queued, limit int) []*queued {
	if len(best) == limit && sendingOrder(item, best[limit-1]) > 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, item, sendingOrder)
	best = slices.Insert(best, at, item)
	return best[:min(limit, len(best))]
}

func sendingOrder(a, b *queued) int {
	return cmp.Or(joinsLast(a, b), cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
}

func joinsLast(a, b *queued) int {
	switch {
	case a.join == b.join:
		return 0
	case a.join:
		return 1
	}
	return -1
}

// take returns up to limit updates, joins last, the least sent and then the newest first, and drops those that were sent often enough.
// The updates about skip are left out, because the caller has added them already.
func (q *updateQueue) take(limit, retransmits int, skip ...fleet.InstanceID) ([]Update, []TargetUpdate) {
	if limit <= 0 || len(q.members)+len(q.targets) == 0 {
		return nil, nil
	}
	best := make([]*queued, 0, limit+1)
	for id, item := range q.members {
		if !slices.Contains(skip, id) {
			best = insertBest(best, item, limit)
		}
	}
	for _, item := range q.targets {
		best = insertBest(best, item, limit)
	}
	var members []Update
	var targets []TargetUpdate
	for _, item := range best {
		item.sent++
		if item.member != nil {
			members = append(members, *item.member)
		} else {
			targets = append(targets, *item.target)
		}
		q.dropExhausted(item, retransmits)
	}
	return members, targets
}

func (q *updateQueue) dropExhausted(item *queued, retransmits int) {
	if item.sent < retransmits {
		return
	}
	if item.member != nil {
		delete(q.members, item.member.ID)
	} else {
		delete(q.targets, item.target.ID)
	}
}
