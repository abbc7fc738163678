package blackboard

import (
	"sync"

	"eelgrassproxy.example/core/fleet"
)

// decisionCapacity bounds the log lines kept for explain: 4,096 lines of about 1 KB are 4 MB of the 128 MB budget.
const decisionCapacity = 4096

// DecisionTable keeps the latest decision log lines, so that a request can be explained without reading log files.
type DecisionTable struct {
	mu    sync.Mutex // guards all fields; a leaf in the lock order
	lines []decisionLine
	next  int
}

type decisionLine struct {
	request fleet.RequestID
	line    string
}

func newDecisionTable(capacity int) *DecisionTable {
	return &DecisionTable{lines: make([]decisionLine, 0, capacity)}
}

// Add keeps one JSON line for the request and drops the oldest line when the table is full.
func (t *DecisionTable) Add(request fleet.RequestID, line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := decisionLine{request: request, line: line}
	if len(t.lines) < cap(t.lines) {
		t.lines = append(t.lines, entry)
		return
	}
	t.lines[t.next] = entry
	t.next = (t.next + 1) % len(t.lines)
}

// Find returns the lines kept for the request, oldest first.
func (t *DecisionTable) Find(request fleet.RequestID) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []string
	for i := range t.lines {
		entry := t.lines[(t.next+i)%len(t.lines)]
		if entry.request == request {
			found = append(found, entry.line)
		}
	}
	return found
}
