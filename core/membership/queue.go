package membership

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
)

// updateQueue holds the updates that have to be sent more times. A newer update replaces an older one about the same member or target.
type updateQueue struct {
	members   map[fleet.InstanceID]*queued
	targets   map[fleet.TargetID]*queued
	nextOrder uint64
}

// queued is an update in the queue. Exactly one of member and target is set.
type queued struct {
	member *Update
	target *TargetUpdate
	sent   int    // number of messages that contained it
	order  uint64 // higher for a newer update
	join   bool   // the first incarnation of a member; sent after all other updates
}

func newUpdateQueue() updateQueue {
	return updateQueue{members: map[fleet.InstanceID]*queued{}, targets: map[fleet.TargetID]*queued{}}
}

func (q *updateQueue) addMember(u Update) {
	q.nextOrder++
	q.members[u.ID] = &queued{member: &u, order: q.nextOrder}
}

// addJoin queues the update about a member's first incarnation, to be sent after all other updates. When a whole fleet starts, such updates
// fill the messages for minutes, although every two members also introduce themselves directly. Updates about failures and drains must not
// wait for them.
func (q *updateQueue) addJoin(u Update) {
	q.nextOrder++
	q.members[u.ID] = &queued{member: &u, order: q.nextOrder, join: true}
}

func (q *updateQueue) addTarget(u TargetUpdate) {
	q.nextOrder++
	q.targets[u.ID] = &queued{target: &u, order: q.nextOrder}
}

func (q *updateQueue) dropTarget(id fleet.TargetID) { delete(q.targets, id) }

// insertBest inserts an item into best, which holds the first limit items in sending order. Sorting the whole queue instead was the largest
// cost of a message when the queue held hundreds of items after the start of a whole fleet.
func insertBest(best []*queued, item *queued, limit int) []*queued {
	if len(best) == limit && sendingOrder(item, best[limit-1]) > 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, item, sendingOrder)
	best = slices.Insert(best, at, item)
	return best[:min(limit, len(best))]
}

// sendingOrder compares two items by the order in which they are sent: joins last, then the least sent, then the newest first.
func sendingOrder(a, b *queued) int {
	return cmp.Or(compareJoins(a, b), cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
}

// compareJoins orders updates about first incarnations after all others.
func compareJoins(a, b *queued) int {
	switch {
	case a.join == b.join:
		return 0
	case a.join:
		return 1
	}
	return -1
}

// nextUpdates returns up to limit updates in sending order, counts them as sent, and drops those that were sent retransmits times. Updates about
// the members in skip are left out, because the message already contains them.
func (q *updateQueue) nextUpdates(limit, retransmits int, skip ...fleet.InstanceID) ([]Update, []TargetUpdate) {
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
