package intake_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	coreintake "eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/node/intake"
	"eelgrassproxy.example/standin/memnet"
)

const (
	address     = "10.0.0.1:80"
	maxBody     = 1 << 20
	bodyLimit   = 5 * time.Second
	connections = 40
)

// plan has room for one large body at a time.
var plan = coreintake.Plan{SmallBytes: 256 << 10, LargeBytes: 1 << 20, Connections: [3]int{connections, connections, connections}}

// session is a guarded server on virtual time.
type session struct {
	t       *testing.T
	network *memnet.Network
}

// inSession plays a session with a server whose handler reads bodies with read.
func inSession(t *testing.T, read func(w http.ResponseWriter, r *http.Request) ([]byte, error), play func(session)) {
	synctest.Test(t, func(t *testing.T) {
		s := session{t, memnet.New()}
		raw, err := s.network.Listen(address)
		require.NoError(t, err)
		guard := intake.NewGuard(plan, tally.NoopScope)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := read(w, r)
			var tooLarge *http.MaxBytesError
			switch {
			case errors.As(err, &tooLarge):
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			case errors.Is(err, intake.ErrTooSlow):
				w.WriteHeader(http.StatusRequestTimeout)
			case errors.Is(err, intake.ErrNoMemory):
				w.WriteHeader(http.StatusServiceUnavailable)
			case err != nil:
				panic(http.ErrAbortHandler)
			case r.URL.Path == "/hold":
				time.Sleep(time.Minute)
			case r.URL.Path == "/endless":
				for err == nil {
					_, err = w.Write(make([]byte, 64<<10))
				}
			}
			fmt.Fprint(w, len(body))
		})}
		l := guard.Protect(server, raw, "test", coreintake.Callers)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { guard.Run(ctx) })
		group.Go(func() { _ = server.Serve(l) })
		play(s)
		cancel()
		s.network.Close()
		_ = server.Close()
		group.Wait()
		time.Sleep(2 * time.Minute) // the handlers end, and the connections that wait for their clients to read
	})
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return intake.ReadBody(w, r, maxBody, time.Now().Add(bodyLimit))
}

func readAll(_ http.ResponseWriter, r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }

// client is a connection whose server may close it while the client writes.
type client struct {
	net.Conn
	responses *bufio.Reader
}

func (s session) connect() client {
	conn, err := s.network.DialContext("10.0.0.2")(s.t.Context(), "tcp", address)
	require.NoError(s.t, err)
	return client{conn, bufio.NewReader(conn)}
}

// send sends a request with the first bytes of a body that is announced.
func (c client) send(path string, announced, sent int) client {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("q", sent))
	return c
}

// status returns the status of the next response, or 0 if the connection is closed.
func (c client) status() int {
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against bodies that stop short and keep the memory, with handlers that use ReadBody and with those that read by themselves, and against a
// refusal that the client cannot read.
func TestStalledBodyIsRefusedForAnother(t *testing.T) {
	for name, read := range map[string]func(http.ResponseWriter, *http.Request) ([]byte, error){"ReadBody": readBody, "io.ReadAll": readAll} {
		t.Run(name, func(t *testing.T) {
			inSession(t, read, func(s session) {
				stalled := s.connect().send("/", 800<<10, 700<<10)
				time.Sleep(time.Second)
				require.Equal(t, http.StatusOK, s.connect().send("/", 800<<10, 800<<10).status())
				require.Equal(t, http.StatusServiceUnavailable, stalled.status())
			})
		})
	}
}

// Guards against a lone slow body that is refused in calm, and against one that is waited for after its deadline.
func TestSlowBodies(t *testing.T) {
	inSession(t, readBody, func(s session) {
		slow := s.connect().send("/", 300, 100)
		for range 2 {
			time.Sleep(bodyLimit / 3)
			fmt.Fprint(slow, strings.Repeat("q", 100))
		}
		require.Equal(t, http.StatusOK, slow.status())
		stalled := s.connect().send("/", 300, 299)
		sent := time.Now()
		require.Equal(t, http.StatusRequestTimeout, stalled.status())
		require.InDelta(t, bodyLimit.Seconds(), time.Since(sent).Seconds(), 0.5)
	})
}

// Guards against a body that is read although its announced size is too large, and against a chunked one without end.
func TestBodiesOverTheLimit(t *testing.T) {
	inSession(t, readBody, func(s session) {
		sent := time.Now()
		require.Equal(t, http.StatusRequestEntityTooLarge, s.connect().send("/", maxBody+1, 0).status())
		require.Zero(t, time.Since(sent))
		endless := s.connect()
		go func() {
			fmt.Fprint(endless, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err := error(nil); err == nil; {
				_, err = fmt.Fprintf(endless, "%x\r\n%s\r\n", 1000, strings.Repeat("q", 1000))
			}
		}()
		require.Equal(t, http.StatusRequestEntityTooLarge, endless.status())
	})
}

// Guards against a kept connection that counts as one whose body is late, and against memory that a request keeps after its end.
func TestKeptConnectionsRest(t *testing.T) {
	inSession(t, readBody, func(s session) {
		c := s.connect()
		for range 5 * connections {
			require.Equal(t, http.StatusOK, c.send("/", 500<<10, 500<<10).status())
			time.Sleep(2 * bodyLimit)
		}
	})
}

// Guards against a response that waits for ever for a client that does not read it.
func TestUnreadResponsesEnd(t *testing.T) {
	inSession(t, readBody, func(s session) {
		c := s.connect().send("/endless", 2, 2)
		time.Sleep(30 * time.Second)
		_, err := io.Copy(io.Discard, c)
		require.NoError(t, err, "the server has closed the connection")
	})
}

// Guards against connections that are not accepted because others stay open, and against a running request whose connection is closed for a new one.
func TestUnfinishedConnectionsGiveWay(t *testing.T) {
	inSession(t, readBody, func(s session) {
		running := s.connect().send("/hold", 2, 2)
		idle, unfinished := s.connect(), s.connect().send("/", 2, 1)
		for range 5 * connections {
			time.Sleep(time.Millisecond)
			s.connect().send("/", 2, 1) // and stays
		}
		require.Zero(t, idle.status())
		require.Equal(t, http.StatusServiceUnavailable, unfinished.status())
		require.Equal(t, http.StatusOK, s.connect().send("/", 2, 2).status())
		require.Equal(t, http.StatusOK, running.status())
	})
}

// Guards against headers whose fields take up much more memory than their text: complete ones beside bodies that stop short, and incomplete ones.
func TestHeadersCount(t *testing.T) {
	var fields strings.Builder
	for n := 0; fields.Len() < 15<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	for name, rest := range map[string]string{"complete": "Content-Length: 2\r\n\r\nq", "incomplete": ""} {
		t.Run(name, func(t *testing.T) {
			inSession(t, readBody, func(s session) {
				held := 0
				var crowd []client
				for range 4 * connections / 5 {
					c := s.connect()
					fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s%s", fields.String(), rest)
					crowd = append(crowd, c)
					time.Sleep(coreintake.SmallRequest * time.Microsecond)
				}
				require.Equal(t, http.StatusOK, s.connect().send("/", 2, 2).status(), "an ordinary request")
				for _, c := range crowd {
					_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
					if _, err := c.responses.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
						held++
					}
				}
				require.Less(t, held, 10)
			})
		})
	}
}
