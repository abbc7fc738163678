// Package peer carries calls between instances: a client, the server side of the generated API, and the conversion between wire
// types and core types.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	peerapi "eelgrassproxy.example/api/peer"
)

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrUnreachable means that no connection was made or that it broke.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrTimeout means that the peer did not answer in time.
	ErrTimeout = eris.New("peer did not answer in time")
	// ErrUnauthorized means that the peer refused the bearer token.
	ErrUnauthorized = eris.New("peer refused the bearer token")
	// ErrNotFound means that the peer does not have what was asked for.
	ErrNotFound = eris.New("peer does not have the requested object")
	// ErrMalformed means that a message breaks the API document.
	ErrMalformed = eris.New("peer message is malformed")
	// ErrRefused means that the peer answered with any other error.
	ErrRefused = eris.New("peer refused the call")
	// ErrFull means that the peer's disk has no room.
	ErrFull = eris.New("peer's disk is full")
	// ErrDigest means that the content of a blob does not have the stated digest.
	ErrDigest = eris.New("blob does not have the stated digest")
	// ErrMessageTooLarge means that a response exceeds its limit.
	ErrMessageTooLarge = eris.New("peer message exceeds its size limit")
)

// translate turns an error of the generated client into one of this layer. The cause is kept in the text.
func translate(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %v", kindOf(err), err)
}

func kindOf(err error) error {
	var status *peerapi.ErrorStatusCode
	if errors.As(err, &status) {
		return kindOfStatus(status.StatusCode)
	}
	if errors.Is(err, ErrMessageTooLarge) {
		return ErrMessageTooLarge
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return ErrTimeout
	}
	var network net.Error
	if errors.As(err, &network) {
		if network.Timeout() {
			return ErrTimeout
		}
		return ErrUnreachable
	}
	return ErrMalformed
}

func kindOfStatus(code int) error {
	switch code {
	case http.StatusUnauthorized:
		return ErrUnauthorized
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusInsufficientStorage:
		return ErrFull
	}
	return ErrRefused
}
