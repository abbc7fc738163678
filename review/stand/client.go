package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool // the answer ended as HTTP says
	err      error
	sent     time.Time
	ended    time.Time
}

// send makes one attempt on a new connection.
func send(address, method, path string, header map[string]string, body []byte, within time.Duration) answer {
	a := answer{sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	a.sent = time.Now()
	if _, a.err = c.Write(b.Bytes()); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
	a.ended = time.Now()
	return a
}

// resolve asks a directory where to connect.
func resolve(address, zone string) (addresses []string, ttl time.Duration, err error) {
	a := send(address, http.MethodGet, "/-/resolve?"+url.Values{"name": {hostName}, "region": {"svealand"}, "zone": {zone}}.Encode(), nil, nil, time.Second)
	if a.err != nil || a.status != http.StatusOK {
		return nil, 0, fmt.Errorf("directory: status %d, %w", a.status, a.err)
	}
	var body struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	err = json.Unmarshal(a.body, &body)
	return body.Addrs, time.Duration(body.TTL * float64(time.Second)), err
}

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func newItem(id, path string) item {
	return item{ID: id, Path: path, Headers: map[string]string{"Model": "m", "Token-Count": "350,400", "Prompt-Prefix": "9c2e41:100," + id + ":250"},
		Body: []byte("repair ticket " + id), Tokens: 750}
}

// submit sends a batch job.
func submit(address, path, id string, items []item) answer {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return answer{err: err}
	}
	return send(address, http.MethodPost, path, map[string]string{"Request-Id": id, "Content-Type": "application/json"}, body, 4*time.Second)
}

// page is an answer to a read of a batch job.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads the results of a batch job from a position on.
func read(address, id string, after int, wait time.Duration) (page, answer) {
	a := send(address, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": fmt.Sprint(wait.Milliseconds())}, nil, wait+2*time.Second)
	var p page
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal(a.body, &p)
	}
	return p, a
}
