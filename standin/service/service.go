// Package service is a small stand-in for a plain service: operations that take a service time, and a ledger of executions that
// lets tests prove that a call ran at most once.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Service is a stand-in for one replica of a plain service. All methods are safe for concurrent use.
type Service struct {
	serviceTime time.Duration
	ledger      *Ledger

	mu      sync.Mutex
	faults  []Fault
	leaving bool
}

// Fault is what goes wrong with one call.
type Fault int

// Faults.
const (
	// None lets the call pass.
	None Fault = iota
	// AnswerLost runs the call and cuts the connection instead of answering.
	AnswerLost
	// NotRun answers 503 with X-Not-Run and does not run the call.
	NotRun
	// Failed runs the call and answers 500.
	Failed
)

// New returns a service whose calls take the service time. Replicas of one service share a ledger.
func New(serviceTime time.Duration, ledger *Ledger) *Service {
	return &Service{serviceTime: serviceTime, ledger: ledger}
}

// Inject queues faults for the next calls, one for each call in order of arrival.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Leaving makes the service reject calls with 503, X-Not-Run and X-Leaving.
func (s *Service) Leaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// next takes the fault of one call and tells whether the service is leaving.
func (s *Service) next() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return None, s.leaving
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault, s.leaving
}

// ServeHTTP implements http.Handler: `POST /{operation}` runs the operation. The answer names the operation, the request id and
// the number of this execution, and repeats the body's length.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.URL.Path, "/")
	if r.Method != http.MethodPost || operation == "" || strings.Contains(operation, "/") {
		http.Error(w, "expected POST /{operation}", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	fault, leaving := s.next()
	if fault == NotRun || leaving {
		reject(w, r.Header.Get("X-Request-Id"), leaving)
		return
	}
	execution := s.ledger.record(Execution{
		Operation:      operation,
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	})
	wait(s.serviceTime)
	switch fault {
	case AnswerLost:
		panic(http.ErrAbortHandler)
	case Failed:
		http.Error(w, "operation failed", http.StatusInternalServerError)
	default:
		respond(w, r.Header.Get("X-Request-Id"), answer{Operation: operation, Execution: execution, Bytes: len(body)})
	}
}

// wait takes the service time. A call runs to its end even if the caller has gone.
func wait(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

func reject(w http.ResponseWriter, id string, leaving bool) {
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Not-Run", "true")
	if leaving {
		w.Header().Set("X-Leaving", "true")
	}
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

type answer struct {
	Operation string `json:"operation"`
	Execution int    `json:"execution"`
	Bytes     int    `json:"bytes"`
}

func respond(w http.ResponseWriter, id string, a answer) {
	body, err := json.Marshal(a)
	if err != nil {
		panic(err) // the type holds nothing that cannot be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
