package rawhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/standin/memnet"
)

const address = "10.0.0.1:80"

// world is a client and a target whose connections are served by a script.
type world struct {
	network *memnet.Network
	client  *rawhttp.Client
	mu      sync.Mutex
	heads   []string // request line and headers as they came
	bodies  []string
}

// script serves one connection, given its number from 0.
type script func(n int, c net.Conn, in *bufio.Reader)

func inWorld(t *testing.T, serve script, test func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{network: memnet.New()}
		w.client = rawhttp.New(w.network.DialContext("10.1.0.1"))
		listener, err := w.network.Listen(address)
		require.NoError(t, err)
		go func() {
			for n := 0; ; n++ {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					serve(n, c, bufio.NewReader(c))
				}()
			}
		}()
		test(t, w)
		w.client.Close()
		_ = listener.Close()
		w.network.Close()
	})
}

func (w *world) post(t *testing.T, body string) (*rawhttp.Response, error) {
	return w.client.Do(t.Context(), address, &rawhttp.Request{
		Method: http.MethodPost, URI: "/a%2Fb?x=1", Host: "h.example", Header: http.Header{"Model": {"m"}}, Body: []byte(body),
	})
}

// read takes one request off a connection.
func (w *world) read(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heads = append(w.heads, fmt.Sprintf("%s %s %s %s %d", r.Method, r.RequestURI, r.Host, r.Header.Get("Model"), r.ContentLength))
	w.bodies = append(w.bodies, string(body))
	return true
}

func drain(t *testing.T, response *rawhttp.Response) string {
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return string(body)
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Guards against requests that are changed on their way, and against connections that are not used again.
func TestConnectionsAreUsedAgain(t *testing.T) {
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for w.read(in) {
			_, _ = io.WriteString(c, ok)
		}
	}, func(t *testing.T, world *world) {
		w = world
		for range 3 {
			response, err := w.post(t, "body")
			require.NoError(t, err)
			require.True(t, response.Framed)
			require.Equal(t, "hi", drain(t, response))
		}
		require.Equal(t, int64(1), w.client.Dialed())
		require.Equal(t, "POST /a%2Fb?x=1 h.example m 4", w.heads[0])
		require.Equal(t, []string{"body", "body", "body"}, w.bodies)
	})
}

// Guards against a second copy of a request, which net/http sends by itself when a kept connection dies.
func TestRequestIsNeverSentTwice(t *testing.T) {
	var w *world
	inWorld(t, func(n int, c net.Conn, in *bufio.Reader) {
		if w.read(in) && n == 0 {
			_, _ = io.WriteString(c, ok)
			w.read(in) // the second request gets no answer
		}
	}, func(t *testing.T, world *world) {
		w = world
		response, err := w.post(t, "1")
		require.NoError(t, err)
		drain(t, response)
		_, err = w.post(t, "2")
		require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
		require.Equal(t, []string{"1", "2"}, w.bodies)
	})
}

// Guards against a connection that is put back before its answer was read, or with bytes that belong to no request.
func TestSpoiledConnectionsAreClosed(t *testing.T) {
	cases := map[string]struct {
		answer string
		read   int // bytes of the body
	}{
		"an answer that was not read to its end":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 2},
		"bytes behind the answer":                 {ok + "HTTP/1.1 200 OK\r\n", 100},
		"an answer that ends with its connection": {"HTTP/1.1 200 OK\r\n\r\nhi", 100},
		"a target that closes":                    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var w *world
			inWorld(t, func(_ int, k net.Conn, in *bufio.Reader) {
				if w.read(in) {
					_, _ = io.WriteString(k, c.answer)
					if strings.Contains(c.answer, "Content-Length") {
						_, _ = in.ReadByte() // until the client closes
					}
				}
			}, func(t *testing.T, world *world) {
				w = world
				for range 2 {
					response, err := w.post(t, "b")
					require.NoError(t, err)
					_, _ = io.CopyN(io.Discard, response.Body, int64(c.read))
					require.NoError(t, response.Body.Close())
				}
				require.Equal(t, int64(2), w.client.Dialed())
			})
		})
	}
}

// Guards against the answer to an earlier request that is taken for the one to this.
func TestForeignAnswersAreSkipped(t *testing.T) {
	var w *world
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
	inWorld(t, func(n int, c net.Conn, in *bufio.Reader) {
		if w.read(in) {
			_, _ = io.WriteString(c, strings.Repeat(foreign, n+1)+"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine")
			_, _ = in.ReadByte()
		}
	}, func(t *testing.T, world *world) {
		w = world
		mine := func() (*rawhttp.Response, error) {
			return w.client.Do(t.Context(), address, &rawhttp.Request{
				Method: http.MethodGet, URI: "/", Host: "h", Mine: func(h http.Header) bool { return h.Get("Id") == "mine" }, MaxIdle: time.Nanosecond,
			})
		}
		for range 2 {
			response, err := mine()
			require.NoError(t, err)
			require.Equal(t, "mine", drain(t, response))
			time.Sleep(time.Second)
		}
		_, err := mine()
		require.ErrorIs(t, err, rawhttp.ErrForeignResponse, "a connection with nothing but such answers")
	})
}

// Guards against a response on a reused connection that is taken for one that cannot belong to an earlier request.
func TestFirstResponseOfAConnectionIsTold(t *testing.T) {
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for w.read(in) {
			_, _ = io.WriteString(c, ok)
		}
	}, func(t *testing.T, world *world) {
		w = world
		for _, first := range []bool{true, false, false} {
			response, err := w.post(t, "body")
			require.NoError(t, err)
			require.Equal(t, first, response.First)
			drain(t, response)
		}
	})
}

// Guards against a target that works on for a caller that has left.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		w.read(in)
		_, _ = in.ReadByte()
		close(closed)
	}, func(t *testing.T, world *world) {
		w = world
		cause := errors.New("caller left")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(cause) })
		_, err := w.client.Do(ctx, address, &rawhttp.Request{Method: http.MethodGet, URI: "/", Host: "h"})
		require.ErrorIs(t, err, cause)
		require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
		<-closed
	})
}

// Guards against a request that is called sent although no connection was there.
func TestNoConnectionMeansNotSent(t *testing.T) {
	inWorld(t, func(int, net.Conn, *bufio.Reader) {}, func(t *testing.T, w *world) {
		w.network.Refuse(address)
		_, err := w.post(t, "b")
		require.ErrorIs(t, err, httpcall.ErrNotSent)
		w.network.Restore(address)
		w.network.Partition([]string{"10.1.0.1"}, []string{address})
		started := time.Now()
		_, err = w.post(t, "b")
		require.ErrorIs(t, err, httpcall.ErrNotSent)
		require.Equal(t, httpcall.ConnectTimeout, time.Since(started))
	})
}

// Guards against connections that are kept beyond the target's timeout, and so closed while a request is on its way.
func TestTimeoutOfTheTargetIsKept(t *testing.T) {
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for w.read(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n")
		}
	}, func(t *testing.T, world *world) {
		w = world
		for _, pause := range []time.Duration{0, 2 * time.Second, 2500 * time.Millisecond} {
			time.Sleep(pause)
			response, err := w.post(t, "b")
			require.NoError(t, err)
			drain(t, response)
		}
		require.Equal(t, int64(2), w.client.Dialed())
	})
}

// Guards against a request on a kept connection that the target has closed, or on which bytes wait that belong to no request. Uses real
// sockets on loopback: only these can be looked at.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"closed":     func(c net.Conn) { c.Close() },
		"with bytes": func(c net.Conn) { _, _ = io.WriteString(c, "late") },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			spoiled := make(chan struct{})
			answered := make(chan struct{})
			go func() {
				for n := 0; ; n++ {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						in := bufio.NewReader(c)
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						if n == 0 {
							<-answered
							spoil(c)
							close(spoiled)
							if _, err := http.ReadRequest(in); err == nil {
								c.Close() // a request on the spoiled connection gets no answer
							}
						}
					}()
				}
			}()
			client := rawhttp.New(new(net.Dialer).DialContext)
			defer client.Close()
			send := func() error {
				response, err := client.Do(t.Context(), listener.Addr().String(), &rawhttp.Request{Method: http.MethodGet, URI: "/", Host: "h"})
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, response.Body)
				return response.Body.Close()
			}
			require.NoError(t, send())
			close(answered)
			<-spoiled
			require.NoError(t, send())
			require.Equal(t, int64(2), client.Dialed())
		})
	}
}

// Guards against a target whose header never ends: its bytes would fill the memory until the deadline of the request, if there is one.
func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	for name, endless := range map[string][2]string{
		"status line":   {"", "H"},
		"header line":   {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var w *world
			written := 0
			inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
				if !w.read(in) {
					return
				}
				_, err := io.WriteString(c, endless[0])
				block := strings.Repeat(endless[1], 1024)
				for err == nil && written < 16<<20 {
					var n int
					n, err = io.WriteString(c, block)
					written += n
				}
			}, func(t *testing.T, world *world) {
				w = world
				_, err := w.post(t, "b")
				require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
				synctest.Wait()
				require.Less(t, written, 1<<20, "the connection is closed")
			})
		})
	}
}

// Guards against a response that ends the use of HTTP on the connection, which nobody asked for, and that is taken for an answer.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if w.read(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
			_, _ = in.ReadByte()
		}
	}, func(t *testing.T, world *world) {
		w = world
		_, err := w.post(t, "b")
		require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
		require.NotErrorIs(t, err, httpcall.ErrNotSent)
	})
}

// Guards against an informational response of an earlier request, or several, that hides the answer or is taken for it.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	var w *world
	inWorld(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for w.read(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n"+ok)
		}
	}, func(t *testing.T, world *world) {
		w = world
		for range 2 {
			response, err := w.post(t, "b")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.Status)
			require.Equal(t, "hi", drain(t, response))
		}
	})
}
