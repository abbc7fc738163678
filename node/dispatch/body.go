package dispatch

import (
	"io"

	"eelgrassproxy.example/node/problem"
)

// cancelBody releases the context of its request when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// incomplete is the error of an answer that was begun and could not be finished; the caller was told in the stream.
type incomplete struct{ told *problem.Error }

// Error implements error.
func (i *incomplete) Error() string { return i.told.Error() }
