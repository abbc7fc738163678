package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/kvmirror"
)

var (
	// errNoUsableCopy means that a peer has no copy, or none that is as new as the reader's.
	errNoUsableCopy = errors.New("peer sent no usable copy")
	errPeerTooSlow  = errors.New("peer did not respond in time")
)

// stateRefusedError means that a peer does not serve a copy now.
type stateRefusedError struct {
	sources []string // others that have it
	busy    bool     // it has the copy
}

func (e *stateRefusedError) Error() string {
	return fmt.Sprintf("peer refused and named %d others", len(e.sources))
}

// receivedCopy is a copy, or the changes to one, as read from a peer.
type receivedCopy struct {
	snapshot kvmirror.Snapshot
	asked    time.Time // the peer took the snapshot at or after this time
	body     []byte    // as it was sent
	// compressed states whether body is in gzip format.
	compressed bool
}

// readCopy reads the changes of a copy since a revision from a peer, or the whole copy. The time until the response begins is bounded by
// peerCallTimeout, and that for the rest by its size, so that neither a dead peer nor a bad link holds up the next attempt.
func (c *PeerClient) readCopy(ctx context.Context, address, name string, since kv.Revision, reader fleet.Member) (receivedCopy, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(peerCallTimeout, func() { cancel(errPeerTooSlow) })
	defer timer.Stop()
	received := receivedCopy{asked: time.Now()}
	target := httpcall.BaseURL(address)
	target.Path = statePath
	target.RawQuery = url.Values{parameterCopy: {name}, parameterSince: {strconv.FormatInt(int64(since), 10)},
		parameterReader: {reader.PeerAddress}, parameterDomain: {string(reader.FailureDomain)}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return received, err
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := c.client.Do(request)
	if err != nil {
		return received, withCause(ctx, err)
	}
	defer response.Body.Close()
	size := response.ContentLength
	if size < 0 || size > maxPeerResponseBytes {
		size = maxPeerResponseBytes / 8 // an earlier build, which sends whole copies
	}
	timer.Reset(transferTime(size))
	body := io.LimitReader(response.Body, maxPeerResponseBytes)
	if response.StatusCode != http.StatusOK {
		return received, refusalOf(response.StatusCode, body)
	}
	received.compressed = response.Header.Get("Content-Encoding") == "gzip"
	received.body, err = io.ReadAll(body)
	if err == nil {
		received.snapshot, err = decodeCopy(bytes.NewReader(received.body), received.compressed, name)
	}
	if err != nil {
		return received, withCause(ctx, err)
	}
	if age, err := strconv.ParseInt(response.Header.Get(headerStateAge), 10, 64); err == nil && age > 0 {
		received.asked = received.asked.Add(-time.Duration(age) * time.Millisecond)
	}
	return received, nil
}

// withCause adds to an error that the time had passed, if it had.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errPeerTooSlow) && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// refusalOf returns the error for a response with a status other than 200.
func refusalOf(status int, body io.Reader) error {
	var decoded refusal
	raw, err := io.ReadAll(io.LimitReader(body, largeResponseBytes))
	if status != http.StatusServiceUnavailable || err != nil || len(raw) == 0 || json.Unmarshal(raw, &decoded) != nil {
		return &PeerStatusError{status}
	}
	return &stateRefusedError{decoded.Sources, decoded.Busy}
}

// decodeCopy decodes the body of a response that has the named copy.
func decodeCopy(body io.Reader, compressed bool, name string) (kvmirror.Snapshot, error) {
	if compressed {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return kvmirror.Snapshot{}, err
		}
		defer decompressed.Close()
		body = io.LimitReader(decompressed, maxPeerResponseBytes)
	}
	raw, err := io.ReadAll(body) // also reads the checksum
	if err != nil {
		return kvmirror.Snapshot{}, err
	}
	state, err := decodeState(raw)
	if err != nil {
		return kvmirror.Snapshot{}, err
	}
	snapshot, ok := state[name]
	if !ok || snapshot.Revision <= 0 {
		return kvmirror.Snapshot{}, errNoUsableCopy
	}
	return snapshot, nil
}
