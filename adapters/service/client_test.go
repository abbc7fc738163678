package service_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/service"
	"eelgrassproxy.example/core/stream"
	"eelgrassproxy.example/standin/memnet"
	standin "eelgrassproxy.example/standin/service"
)

const address = "10.0.0.1:9000"

func TestCallRunsAtMostOnceAndTellsWhatIsKnown(t *testing.T) {
	// Guards against a second execution of a call and against "not run" for a call that ran.
	cases := []struct {
		name  string
		fault standin.Fault
		err   error
		runs  int
	}{
		{"an answered call", standin.None, nil, 1},
		{"an answer that is lost after the call ran", standin.AnswerLost, service.ErrOutcomeUnknown, 1},
		{"a call that the service did not run", standin.NotRun, service.ErrNotRun, 0},
		{"a call that failed inside the service", standin.Failed, service.ErrFailed, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ledger standin.Ledger
				s := standin.New(30*time.Millisecond, &ledger)
				n := memnet.New()
				l, err := n.Listen(address)
				require.NoError(t, err)
				server := &http.Server{Handler: s}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				httpClient := httpcall.NewClient(n.DialContext("10.0.1.1"))
				defer httpClient.CloseIdleConnections()
				client := service.NewClient(httpClient)

				// The first call leaves a kept connection, on which net/http would send the second one again by itself.
				for i, fault := range []standin.Fault{standin.None, c.fault} {
					s.Inject(fault)
					id := []string{"first", "second"}[i]
					a, err := client.Call(context.Background(), address,
						service.Call{ID: id, Operation: "quote", IdempotencyKey: "key-" + id, Body: []byte(`{}`)})
					if fault != standin.None {
						require.ErrorIs(t, err, c.err)
						continue
					}
					require.NoError(t, err)
					body, err := io.ReadAll(a.Body)
					require.NoError(t, err)
					require.NoError(t, a.Body.Close())
					require.NoError(t, stream.CheckResponse(id, a.Header, body))
				}
				require.Equal(t, c.runs, ledger.OfKey("key-second"))
				require.Equal(t, c.runs, ledger.OfRequest("second"))
			})
		})
	}
}
