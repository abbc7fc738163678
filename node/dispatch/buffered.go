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

// upstreamResponse is a successful response of a target.
type upstreamResponse struct {
	status int
	header http.Header
	body   io.ReadCloser
	stream bool
	load   *fleet.LoadReport
}

// relayBuffered reads a response that is not a stream to its end, checks that it belongs to this attempt, and only then writes it.
func (a *attempt) relayBuffered(ctx context.Context, response *upstreamResponse) *failure {
	limit := a.dispatcher.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.body, limit+1))
	a.receivedBytes = int64(len(body))
	if err != nil {
		return a.toFailure(ctx, fmt.Errorf("read answer: %w", err))
	}
	if int64(len(body)) > limit {
		return a.toFailure(ctx, fmt.Errorf("answer exceeds %d bytes", limit))
	}
	if err := stream.CheckResponse(a.upstreamID, response.header, body); err != nil {
		return a.toFailure(ctx, err)
	}
	if !a.becomeWinner() {
		return a.toFailure(ctx, errSuperseded)
	}
	a.recordFirstByte()
	header := a.writer.Header()
	header.Set("Content-Type", response.header.Get("Content-Type"))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	a.writer.WriteHeader(response.status)
	// A failed write does not change the outcome: the target ran the request.
	_, _ = a.writer.Write(body)
	return nil
}
