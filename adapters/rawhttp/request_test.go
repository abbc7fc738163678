package rawhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
)

// received returns the requests that a target reads from what the client writes, and whether the client wrote the request.
func received(t require.TestingT, r *rawhttp.Request) (requests []*http.Request, bodies []string, sent bool) {
	here, there := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader := bufio.NewReader(there)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				break
			}
			requests, bodies = append(requests, request), append(bodies, string(body))
			if reader.Buffered() > 0 {
				continue
			}
			_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			break
		}
		there.Close()
	}()
	client := rawhttp.New(func(context.Context, string, string) (net.Conn, error) { return here, nil })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := client.Do(ctx, "10.0.0.1:80", r)
	if err == nil {
		response.Body.Close()
	}
	here.Close()
	<-done
	if err != nil {
		require.ErrorIs(t, err, httpcall.ErrNotSent, "a target cannot read what was written: %q", r)
		require.ErrorIs(t, err, rawhttp.ErrInvalidRequest)
	}
	return requests, bodies, err == nil
}

// Guards against texts of a request that a target reads as another request: callers choose most of them.
func TestTextsThatAreNoPartOfARequest(t *testing.T) {
	const hidden = "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n"
	valid := func() *rawhttp.Request {
		return &rawhttp.Request{Method: "POST", URI: "/p/3?x=%20y", Host: "nony24.example:80", Header: http.Header{"Model": {"m", "\xc3\xa4 b"}}, Body: []byte("body")}
	}
	requests, bodies, sent := received(t, valid())
	require.True(t, sent)
	require.Len(t, requests, 1)
	require.Equal(t, []string{"body"}, bodies)
	for name, change := range map[string]func(*rawhttp.Request){
		"method":             func(r *rawhttp.Request) { r.Method = "GET /hidden HTTP/1.1" + hidden },
		"method missing":     func(r *rawhttp.Request) { r.Method = "" },
		"target":             func(r *rawhttp.Request) { r.URI = "/ HTTP/1.1" + hidden },
		"target with space":  func(r *rawhttp.Request) { r.URI = "/a b" },
		"target missing":     func(r *rawhttp.Request) { r.URI = "" },
		"host":               func(r *rawhttp.Request) { r.Host = "h" + hidden },
		"name":               func(r *rawhttp.Request) { r.Header["A: b"+hidden+"C"] = []string{"d"} },
		"value":              func(r *rawhttp.Request) { r.Header.Set("A", "b"+hidden) },
		"value with line":    func(r *rawhttp.Request) { r.Header.Set("A", "b\nC: d") },
		"value with return":  func(r *rawhttp.Request) { r.Header.Set("A", "b\rC: d") },
		"length":             func(r *rawhttp.Request) { r.Header.Set("Content-Length", "0") },
		"encoding":           func(r *rawhttp.Request) { r.Header["transfer-encoding"] = []string{"chunked"} },
		"connection":         func(r *rawhttp.Request) { r.Header.Set("Connection", "close") },
		"another host":       func(r *rawhttp.Request) { r.Header.Set("Host", "other") },
		"value with nothing": func(r *rawhttp.Request) { r.Header.Set("A", "\x00") },
	} {
		t.Run(name, func(t *testing.T) {
			r := valid()
			change(r)
			requests, _, sent := received(t, r)
			require.False(t, sent)
			require.Empty(t, requests)
		})
	}
}

func FuzzRequest(f *testing.F) {
	// Guards against a request that a target reads as several, or as another one: it reads exactly the one that was written, or nothing was sent.
	f.Add("POST", "/p/3", "h", "Model", "m", []byte("body"))
	f.Add("GET", "/a\r\nGET /b HTTP/1.1", "h", "A", "b\r\n\r\n", []byte(nil))
	f.Add("PUT", "*", "h:80", "Expect", "100-continue", []byte("x"))
	f.Add("CONNECT", "h:80", "", "Trailer", "A", []byte("x"))
	f.Fuzz(func(t *testing.T, method, uri, host, name, value string, body []byte) {
		r := &rawhttp.Request{Method: method, URI: uri, Host: host, Header: http.Header{name: {value}}, Body: body}
		requests, bodies, sent := received(t, r)
		if !sent {
			require.Empty(t, requests)
			return
		}
		require.Len(t, requests, 1)
		require.Equal(t, string(body), bodies[0])
		require.Equal(t, method, requests[0].Method)
		require.Equal(t, uri, requests[0].RequestURI)
		if name = http.CanonicalHeaderKey(name); name != "Trailer" && name != "Pragma" {
			require.Equal(t, strings.Trim(value, " \t"), requests[0].Header.Get(name))
		}
	})
}
