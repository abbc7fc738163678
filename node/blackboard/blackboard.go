// Package blackboard holds the tables that the controllers of an instance read and write, and tells subscribers which table changed.
//
// Lock order: tables are locked in the order bundle, members, targets, loads, callers, claims, shards, jobs, decisions, and
// released in reverse. No table lock is held across I/O. Readers of the request path use immutable snapshots and take no lock.
package blackboard

import (
	"sync"
)

// Topic names a table for change notices.
type Topic string

// Topics, in lock order.
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

// Subscribe calls notify after each change of the topic. notify must not block and must not touch the board.
func (b *Board) Subscribe(topic Topic, notify func()) {
	b.notices.subscribe(topic, notify)
}

// notifier keeps the subscribers of each topic. Its mutex is a leaf: it is taken after every table lock was released.
type notifier struct {
	mu          sync.Mutex
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
