package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	peerapi "eelgrassproxy.example/api/peer"
)

var sentinels = []error{
	ErrUnreachable, ErrTimeout, ErrUnauthorized, ErrNotFound, ErrMalformed, ErrRefused, ErrFull, ErrDigest, ErrMessageTooLarge,
}

// Guards against an error of a call that is also another one of the package, by the text of its cause.
func TestErrorOfACallIsOneErrorOnly(t *testing.T) {
	for _, cause := range sentinels {
		for _, test := range []struct{ err, want error }{
			{errors.New(cause.Error()), ErrMalformed},
			{&net.OpError{Op: "read", Err: errors.New(cause.Error())}, ErrUnreachable},
			{&peerapi.ErrorStatusCode{StatusCode: http.StatusNotFound}, ErrNotFound},
			{&peerapi.ErrorStatusCode{StatusCode: http.StatusInsufficientStorage}, ErrFull},
			{context.DeadlineExceeded, ErrTimeout},
			{ErrMessageTooLarge, ErrMessageTooLarge},
		} {
			for _, sentinel := range sentinels {
				require.Equal(t, sentinel == test.want, errors.Is(translate(test.err), sentinel), "%v is %v", translate(test.err), sentinel)
			}
		}
	}
}
