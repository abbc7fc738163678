// Package blackboard holds the tables that the controllers of an instance read and write, and notifies subscribers of the changes of a
// table.
//
// Lock order: tables are locked in the order bundle, members, targets, loads, callers, claims, shards, jobs, decisions, and
// unlocked in reverse. No table lock is held during I/O. The request path reads immutable snapshots without a lock.
package blackboard

import (
	"sync"
)

// Topic names a table whose changes can be subscribed to.
type Topic string

// The topics, in lock order of their tables.
const (
	TopicBundle    Topic = "bundle"
	TopicMembers   Topic = "members"
	TopicTargets   Topic = "targets"
	TopicLoads     Topic = "loads"
	TopicClaims    Topic = "claims"
	TopicShards    Topic = "shards"
	TopicJobs      Topic = "jobs"
	TopicDecisions Topic = "decisions"
)

// Board is the set of tables of one instance.
type Board struct {
	Bundle    *BundleTable
	Members   *MemberTable
	Targets   *TargetTable
	Loads     *LoadTable
	Decisions *DecisionTable
	notices   *notifier
}

// New returns a board with empty tables.
func New() *Board {
	n := &notifier{}
	return &Board{
		Bundle:    newBundleTable(n),
		Members:   newMemberTable(n),
		Targets:   newTargetTable(n),
		Loads:     newLoadTable(),
		Decisions: newDecisionTable(decisionCapacity),
		notices:   n,
	}
}

// Subscribe registers notify to be called after each change of the topic's table. There is no way to unsubscribe. notify runs in the
// goroutine that made the change; it must not block and must not access the board.
func (b *Board) Subscribe(topic Topic, notify func()) {
	b.notices.subscribe(topic, notify)
}

// notifier holds the subscribers of each topic.
type notifier struct {
	mu          sync.Mutex // guards subscribers; a leaf in the lock order, acquired only after all table locks are released
	subscribers map[Topic][]func()
}

func (n *notifier) subscribe(topic Topic, notify func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = make(map[Topic][]func())
	}
	n.subscribers[topic] = append(n.subscribers[topic], notify)
}

func (n *notifier) changed(topic Topic) {
	n.mu.Lock()
	subscribers := n.subscribers[topic]
	n.mu.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}
