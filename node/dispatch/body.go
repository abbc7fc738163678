package dispatch

import (
	"io"

	"eelgrassproxy.example/node/problem"
)

// cancelBody is a response body that cancels the context of its request when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// incompleteError is returned for a response that was started and could not be completed. The error event was already written to the
// stream.
type incompleteError struct{ problem *problem.Error }

// Error implements error.
func (i *incompleteError) Error() string { return i.problem.Error() }

// Is reports whether target is problem.ErrIncomplete.
func (i *incompleteError) Is(target error) bool { return target == problem.ErrIncomplete }
