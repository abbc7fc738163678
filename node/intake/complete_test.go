package intake_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	coreintake "eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/node/intake"
	"eelgrassproxy.example/standin/memnet"
)

// readDelay is the time after which a read of a slow connection returns what it has read.
const readDelay = 2 * time.Millisecond

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(readDelay)
	}
	return n, err
}

// Guards against a request whose last byte is read while its connection gives way, and that begins to run and ends without an answer.
func TestRequestThatCompletesWhileItGivesWayIsAnswered(t *testing.T) {
	for name, body := range map[string][2]string{
		"with a length": {"Content-Length: 2\r\n\r\nq", "q"},
		"in chunks":     {"Transfer-Encoding: chunked\r\n\r\n1\r\nq\r\n", "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := session{t, memnet.New()}
				raw, err := s.network.Listen(address)
				require.NoError(t, err)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if _, err := readBody(w, r); err != nil {
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					select { // the request runs
					case <-time.After(time.Second):
					case <-r.Context().Done():
						panic(http.ErrAbortHandler)
					}
				})}
				onePlace := coreintake.Plan{SmallBytes: 1 << 20, LargeBytes: 1 << 20, Connections: [3]int{1, 1, 1}}
				l := intake.NewGuard(onePlace, tally.NoopScope).Protect(server, slowListener{raw}, "test", coreintake.Callers)
				var group sync.WaitGroup
				group.Go(func() { _ = server.Serve(l) })
				late := s.connect()
				fmt.Fprint(late, "POST / HTTP/1.1\r\nHost: h\r\n"+body[0])
				time.Sleep(2 * readDelay)
				fmt.Fprint(late, body[1])
				time.Sleep(readDelay / 2)
				next := s.connect() // takes the place
				status := late.status()
				_, _ = late.Close(), next.Close()
				_ = server.Close()
				s.network.Close()
				group.Wait()
				require.Equal(t, http.StatusServiceUnavailable, status)
			})
		})
	}
}

// Guards against a whole request whose connection is closed without an answer because running requests take up the memory.
func TestWholeRequestIsRefusedWhileRunningOnesTakeUpTheMemory(t *testing.T) {
	inSession(t, readBody, func(s session) {
		for range plan.SmallBytes / coreintake.SmallRequest {
			s.connect().send("/hold", coreintake.SmallRequest, coreintake.SmallRequest)
		}
		time.Sleep(time.Millisecond)
		assert.Equal(t, http.StatusServiceUnavailable, s.connect().send("/", 2, 2).status())
	})
}
