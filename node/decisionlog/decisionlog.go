// Package decisionlog writes one JSON log line for each routing or placement decision and keeps the latest lines in the decision
// table of the blackboard, where eelgrassctl explain finds them.
package decisionlog

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/blackboard"
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	KindRoute     Kind = "route"     // choice of a target for one attempt
	KindAdmission Kind = "admission" // the request was refused or queued
	KindRetry     Kind = "retry"     // another attempt, or none
	KindResume    Kind = "resume"    // a stream was continued on a new connection
	KindClaim     Kind = "claim"     // result of claiming an idempotency key: claimed, replayed, refused or unknown
	KindOutcome   Kind = "outcome"   // how the request ended
	KindPlacement Kind = "placement" // a command to an engine
)

// Entry is one decision. Empty optional fields are left out of the log line.
type Entry struct {
	At         time.Time               `json:"at"`
	Instance   fleet.InstanceID        `json:"instance"`
	Request    fleet.RequestID         `json:"request_id"`
	Caller     fleet.CallerID          `json:"caller,omitempty"`
	Kind       Kind                    `json:"kind"`
	Generation fleet.Generation        `json:"generation,omitempty"`
	Attempt    int                     `json:"attempt,omitempty"`
	Target     fleet.TargetID          `json:"target,omitempty"`
	Reason     string                  `json:"reason"`
	Candidates []routing.CandidateView `json:"candidates,omitempty"`
}

// Log writes the decisions of one instance. It is safe for concurrent use.
type Log struct {
	instance fleet.InstanceID
	table    *blackboard.DecisionTable
}

// New returns a log for the instance that keeps the latest lines in table.
func New(instance fleet.InstanceID, table *blackboard.DecisionTable) *Log {
	return &Log{instance: instance, table: table}
}

// Write sets the time and the instance of the entry, adds it to the decision table and logs it.
func (l *Log) Write(e Entry) {
	e.At = time.Now().UTC()
	e.Instance = l.instance
	line, err := json.Marshal(e)
	if err != nil {
		klog.ErrorS(err, "Decision could not be encoded", "request", e.Request)
		return
	}
	l.table.Add(e.Request, string(line))
	klog.InfoS("Decision", "decision", json.RawMessage(line))
}
