package httpcall_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/standin/memnet"
)

const address = "10.0.0.1:80"

// answerOnce serves connections that answer the first request of each and die, unanswered, after reading the second one.
func answerOnce(t *testing.T, n *memnet.Network, requests *atomic.Int32) (stop func() error) {
	l, err := n.Listen(address)
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for i := range 2 {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					if i == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return l.Close
}

func post(t *testing.T, body string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(body))
	require.NoError(t, err)
	require.NotNil(t, r.GetBody)
	r.Header.Set("Idempotency-Key", "k") // makes net/http treat the request as one that may be sent again
	return r
}

func TestPostIsNotReplayedOnADeadReusedConnection(t *testing.T) {
	// Guards against net/http sending a request again by itself when a kept connection dies.
	for _, body := range []string{"{}", ""} {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New()
			var requests atomic.Int32
			defer answerOnce(t, n, &requests)()
			client := httpcall.NewClient(n.DialContext("10.0.1.1"))
			defer client.CloseIdleConnections()
			sender := httpcall.NewSender(client)

			response, err := sender.Do(post(t, body))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			synctest.Wait()
			_, err = sender.Do(post(t, body))
			require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, httpcall.ErrNotSent)
			require.Equal(t, int32(2), requests.Load())
		})
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestRedirectIsNotFollowed(t *testing.T) {
	// Guards against a target that has the request sent a second time elsewhere.
	for _, code := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		sent := 0
		sender := httpcall.NewSender(&http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			sent++
			h := http.Header{"Location": {"http://10.0.0.9/"}}
			return &http.Response{StatusCode: code, Header: h, Body: http.NoBody, Request: r}, nil
		})})
		response, err := sender.Do(post(t, "{}"))
		require.NoError(t, err)
		require.ErrorIs(t, httpcall.Success(response), httpcall.ErrFailed)
		require.Equal(t, 1, sent)
	}
}

func TestNotSentNeedsEvidence(t *testing.T) {
	// Guards against calling a request not sent when the transport does not tell.
	sender := httpcall.NewSender(&http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
		return nil, io.ErrUnexpectedEOF
	})})
	_, err := sender.Do(post(t, "{}"))
	require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
}

func TestErrorBodyIsBounded(t *testing.T) {
	// Guards against a target that fills the memory with an error answer.
	body := io.NopCloser(bytes.NewReader(make([]byte, 2*httpcall.MaxErrorBody)))
	err := httpcall.Success(&http.Response{StatusCode: http.StatusBadGateway, Body: body})
	var status *httpcall.StatusError
	require.ErrorAs(t, err, &status)
	require.Len(t, status.Body, httpcall.MaxErrorBody)
}
