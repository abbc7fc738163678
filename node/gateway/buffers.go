package gateway

import "eelgrassproxy.example/core/limits"

// smallResponseBytes is the size in bytes of what a target sends to an online request that can be kept whatever other requests take up.
const smallResponseBytes = 64 << 10

// reserver is a budget, or a part of one.
type reserver interface {
	Reserve(n int64) bool
	Release(n int64)
}

var _ reserver = &limits.Budget{}

// heldBuffers is the part of a budget that one request holds. It bounds the memory for what targets send and is not passed on yet: their bound for each
// request times the number of requests would fill the memory of the process.
type heldBuffers struct {
	budget reserver
	free   int   // number of bytes that need no reservation
	size   int   // of the current buffer
	base   int64 // held for earlier buffers
	held   int64
}

// next begins another buffer, beside the ones so far.
func (h *heldBuffers) next() { h.size, h.base = 0, h.held }

// grow reserves memory for the current buffer, which is to have a size in bytes. It returns false if the budget is used up.
func (h *heldBuffers) grow(size int) bool {
	if size <= max(h.size, h.free) {
		return true
	}
	need := h.base + int64(size) - h.held
	if !h.budget.Reserve(need) {
		return false
	}
	h.size, h.held = size, h.held+need
	return true
}

// releaseAll returns all that is held.
func (h *heldBuffers) releaseAll() {
	h.budget.Release(h.held)
	h.size, h.base, h.held = 0, 0, 0
}
