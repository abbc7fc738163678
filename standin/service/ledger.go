package service

import (
	"slices"
	"sync"
)

// Execution is one execution of an operation.
type Execution struct {
	Operation      string
	RequestID      string
	IdempotencyKey string
}

// Ledger records executions in order. The zero value is empty. All methods are safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
}

// record adds an execution and returns its number, from 1.
func (l *Ledger) record(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	return len(l.executions)
}

// Executions returns all executions in order.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// OfKey returns how many executions had the idempotency key.
func (l *Ledger) OfKey(key string) int {
	return l.count(func(e Execution) bool { return e.IdempotencyKey == key })
}

// OfRequest returns how many executions had the request id.
func (l *Ledger) OfRequest(id string) int {
	return l.count(func(e Execution) bool { return e.RequestID == id })
}

func (l *Ledger) count(matches func(Execution) bool) int {
	n := 0
	for _, e := range l.Executions() {
		if matches(e) {
			n++
		}
	}
	return n
}
