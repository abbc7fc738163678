package bulk

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
)

// worded is an error with a text of its own.
type worded struct {
	error
	text string
}

func (w worded) Error() string { return w.text }
func (w worded) Unwrap() error { return w.error }

// Guards against an error of the disk that tells a peer two things, by the text of its cause.
func TestErrorForAPeerIsOneErrorOnly(t *testing.T) {
	sentinels := []error{peer.ErrNotFound, peer.ErrFull, peer.ErrDigest}
	for _, cause := range sentinels {
		for from, want := range map[error]error{
			disk.ErrNotFound: peer.ErrNotFound, disk.ErrCorrupt: peer.ErrNotFound, disk.ErrFull: peer.ErrFull, disk.ErrDigest: peer.ErrDigest,
		} {
			converted := peerError(worded{from, cause.Error()})
			for _, sentinel := range sentinels {
				require.Equal(t, sentinel == want, errors.Is(converted, sentinel), "%v is %v", converted, sentinel)
			}
		}
		require.ErrorIs(t, peerError(cause), cause)
	}
}
