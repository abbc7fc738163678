package peer

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// testToken has the length of 32 random bytes in base64.
const testToken = "test-token-test-token-test-token-test-token"

var sample = membership.Probe{
	From: "i1", Incarnation: 1_800_000_000_000, Generation: 7, InFlight: 3,
	Updates: []membership.Update{
		{ID: "i2", State: fleet.MemberDead, Incarnation: 5},
		{ID: "i3", State: fleet.MemberDraining, Incarnation: 6, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", FailureDomain: "a"},
	},
	Targets: []membership.TargetUpdate{{ID: "t1", State: fleet.TargetLeaving}},
}

// serve runs a peer server on a loopback listener and returns its address and the meter of its connections.
func serve(t testing.TB, handlers Handlers) (address string, meter *Meter) {
	t.Helper()
	handler, err := NewHandler(handlers, [][sha256.Size]byte{sha256.Sum256([]byte("old")), sha256.Sum256([]byte(testToken))})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	meter = NewMeter(tally.NoopScope)
	server := &httptest.Server{Listener: meter.Listen(listener), Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String(), meter
}

func clientWith(t testing.TB, token string) *Client {
	t.Helper()
	client, err := NewClient(token, NewMeter(tally.NoopScope))
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// echo answers probes with themselves and counts the calls that reached the instance.
func echo(calls *int) Handlers {
	return Handlers{
		Probe: func(_ context.Context, p membership.Probe) membership.Probe { *calls++; return p },
		ProbeIndirect: func(_ context.Context, subject fleet.InstanceID, _ string) IndirectResult {
			*calls++
			return IndirectResult{Reached: subject == "i2", Incarnation: 9}
		},
		Manifest: func() (bundle.SignedManifest, bool) {
			*calls++
			return bundle.SignedManifest{Manifest: []byte("m"), Signatures: []bundle.Signature{{Operator: "o", Signature: []byte("s")}}}, true
		},
		Section: func(digest string) ([]byte, bool) {
			*calls++
			return []byte(strings.Repeat("x", 200_000)), strings.HasPrefix(digest, "a")
		},
		Delta:     func(fleet.Generation) (bundle.Delta, bool) { *calls++; return bundle.Delta{}, false },
		Decisions: func(fleet.RequestID) []string { *calls++; return nil },
	}
}

// Guards against fields lost between the instances, and against bytes that the meters miss.
func TestCallsCarryTheirContentAndAreMetered(t *testing.T) {
	calls := 0
	address, meter := serve(t, echo(&calls))
	client := clientWith(t, testToken)
	ctx := t.Context()
	ack, err := client.Probe(ctx, address, sample)
	require.NoError(t, err)
	assert.Equal(t, sample, ack)
	result, err := client.ProbeIndirect(ctx, "i1", membership.IndirectRequest{RelayAddress: address, Subject: "i2"})
	require.NoError(t, err)
	assert.Equal(t, IndirectResult{Reached: true, Incarnation: 9}, result)
	manifest, err := client.Manifest(ctx, address)
	require.NoError(t, err)
	assert.Equal(t, "o", manifest.Signatures[0].Operator)
	section, err := client.Section(ctx, address, strings.Repeat("a", 64))
	require.NoError(t, err)
	assert.Len(t, section, 200_000)
	_, err = client.Section(ctx, address, strings.Repeat("b", 64))
	assert.ErrorIs(t, err, ErrNotFound)
	lines, err := client.Decisions(ctx, address, "r1")
	require.NoError(t, err)
	assert.Empty(t, lines)

	sent, received := client.Bytes()
	serverSent, serverReceived := meter.Bytes()
	assert.Equal(t, sent, serverReceived)
	assert.Equal(t, received, serverSent)
	assert.Greater(t, received, int64(200_000))
}

// Guards against strangers who read bundles or declare instances dead.
func TestCallsWithoutThePeersTokenAreRefused(t *testing.T) {
	calls := 0
	address, _ := serve(t, echo(&calls))
	for _, token := range []string{"", "wrong", testToken + "x", testToken[:10]} {
		client := clientWith(t, token)
		_, err := client.Probe(t.Context(), address, sample)
		assert.ErrorIs(t, err, ErrUnauthorized)
		_, err = client.ProbeIndirect(t.Context(), "i1", membership.IndirectRequest{RelayAddress: address, Subject: "i2"})
		assert.ErrorIs(t, err, ErrUnauthorized)
		_, err = client.Manifest(t.Context(), address)
		assert.ErrorIs(t, err, ErrUnauthorized)
		_, err = client.Section(t.Context(), address, strings.Repeat("a", 64))
		assert.ErrorIs(t, err, ErrUnauthorized)
		_, err = client.Decisions(t.Context(), address, "r1")
		assert.ErrorIs(t, err, ErrUnauthorized)
	}
	response, err := http.Post("http://"+address+"/peer/v1/probe", "application/json", strings.NewReader("not even JSON"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode, "authentication comes before decoding")
	assert.Zero(t, calls)
}

// Guards against errors of the network that look like answers of the peer.
func TestFailuresHaveTheirOwnErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = clientWith(t, testToken).Probe(t.Context(), closed, sample)
	assert.ErrorIs(t, err, ErrUnreachable)

	huge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(strings.Repeat(" ", maxControlResponse+1)))
	}))
	defer huge.Close()
	_, err = clientWith(t, testToken).Probe(t.Context(), huge.Listener.Addr().String(), sample)
	assert.ErrorIs(t, err, ErrMessageTooLarge)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = clientWith(t, testToken).Probe(cancelled, closed, sample)
	assert.ErrorIs(t, err, ErrTimeout)
}
