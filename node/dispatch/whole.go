package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/stream"
)

// upstream is a successful response of a target.
type upstream struct {
	status int
	header http.Header
	body   io.ReadCloser
	stream bool
	load   *fleet.LoadReport
}

// relayWhole reads a response that is not a stream to its end, checks that it belongs to this attempt, and only then writes it.
func (a *attempt) relayWhole(ctx context.Context, answer *upstream) *failure {
	limit := a.dispatcher.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(answer.body, limit+1))
	a.received = int64(len(body))
	if err != nil {
		return a.failed(ctx, fmt.Errorf("read answer: %w", err))
	}
	if int64(len(body)) > limit {
		return a.failed(ctx, fmt.Errorf("answer exceeds %d bytes", limit))
	}
	if err := stream.CheckAnswer(a.upstreamID, answer.header, body); err != nil {
		return a.failed(ctx, err)
	}
	if !a.win() {
		return a.failed(ctx, errLost)
	}
	a.firstByteCame()
	header := a.writer.Header()
	header.Set("Content-Type", answer.header.Get("Content-Type"))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	a.writer.WriteHeader(answer.status)
	// A failed write does not change the outcome: the target ran the request.
	_, _ = a.writer.Write(body)
	return nil
}
