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

// incomplete is returned for a response that was started and could not be completed. The error event was already written to the stream.
type incomplete struct{ told *problem.Error }

// Error implements error.
func (i *incomplete) Error() string { return i.told.Error() }
