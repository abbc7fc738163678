package experiments

import (
	"net/http"
	"strings"
	"sync"
)

// Attempts counts what the engines saw of each request. Its Observe is for the options of a fleet.
type Attempts struct {
	mu   sync.Mutex // guards seen
	seen map[string]int
}

// NewAttempts returns an empty count.
func NewAttempts() *Attempts { return &Attempts{seen: make(map[string]int)} }

// Observe counts the start of a request at an engine. Resumed streams and cancellations are not attempts.
func (a *Attempts) Observe(_ string, r *http.Request) {
	if r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Path, "/v1/") {
		return
	}
	id, _, ok := strings.Cut(r.Header.Get("X-Request-Id"), ".instance-")
	if !ok {
		return // a caller's request at an instance
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[id]++
}

// Of returns how many attempts of the request reached engines.
func (a *Attempts) Of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[id]
}
