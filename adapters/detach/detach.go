// Package detach lends memory to code that may go on reading after it was given up, such as an HTTP transport after an early response
// or a write to a disk that hangs.
package detach

import (
	"errors"
	"io"
	"sync"
)

// ErrDetached is returned by a Reader after Detach.
var ErrDetached = errors.New("content is no longer available")

// Reader reads from memory until it is detached. It is safe for concurrent use.
type Reader struct {
	mu      sync.Mutex // guards content and gone
	content []byte
	gone    bool
}

// NewReader returns a reader of the content, which must not change until Detach.
func NewReader(content []byte) *Reader {
	return &Reader{content: content}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return 0, ErrDetached
	}
	if len(r.content) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.content)
	r.content = r.content[n:]
	return n, nil
}

// Detach ends all access to the content: no Read touches it after the return.
func (r *Reader) Detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content, r.gone = nil, true
}
