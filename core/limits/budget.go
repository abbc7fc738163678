package limits

import "sync/atomic"

// Budget bounds the memory for one purpose. It counts bytes that its users reserve, and holds no memory itself. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes. It returns false and reserves nothing if they do not fit.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Adjust changes the reserved bytes by n, which may be negative, whether they fit or not. It is for memory that is in use already.
func (b *Budget) Adjust(n int64) { b.used.Add(n) }

// Release returns n bytes that were reserved.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }
