package blackboard

import (
	"sync"

	"eelgrassproxy.example/core/fleet"
)

// decisionCapacity is the maximum number of decision log lines in the table that explains requests: 4,096 lines of about 1 KB take
// 4 MB of the memory budget of 128 MB.
const decisionCapacity = 4096

// DecisionTable holds the latest decision log lines, so that a request can be explained without reading log files. It is safe for
// concurrent use.
type DecisionTable struct {
	mu    sync.Mutex     // guards all fields; a leaf in the lock order
	lines []decisionLine // a ring buffer once it is full
	next  int            // index of the oldest line
}

type decisionLine struct {
	request fleet.RequestID
	line    string
}

func newDecisionTable(capacity int) *DecisionTable {
	return &DecisionTable{lines: make([]decisionLine, 0, capacity)}
}

// Add stores a JSON line of the request. It overwrites the oldest line of the table when the table is full.
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

// Find returns the stored lines of the request, oldest first.
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
