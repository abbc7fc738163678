package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// newID returns the id of a request, an item or a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends each request on a connection of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a request of a client to an instance. The status is 0 if there was no complete answer.
func (i *instance) call(method, path, id string, header map[string]string, body []byte, limit time.Duration) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(i.host, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostName
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, answer, err
	}
	return response.StatusCode, answer, nil
}

// tokenHeader is what a request for tokens states, like those of the site.
func tokenHeader() map[string]string {
	return map[string]string{"Model": "m", "Token-Count": "450,180", "Prompt-Prefix": "5c1e07a2:100,91bd3f06:100," + newID() + ":250", "Deadline-Ms": "5000"}
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// newItem returns an item with a body of a size.
func newItem(size int) item {
	header := tokenHeader()
	delete(header, "Deadline-Ms")
	return item{ID: newID(), Path: "/pule252/3/" + newID()[:4], Headers: header, Body: bytes.Repeat([]byte("q"), size), Tokens: 630}
}

// submit hands in a job.
func (i *instance) submit(id string, items []item, limit time.Duration) (status int, err error) {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return 0, err
	}
	status, _, err = i.call(http.MethodPost, "/pule252/"+id[:6], id, map[string]string{"Content-Type": "application/json"}, body, limit)
	return status, err
}

// result is a result of an item as a client reads it.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// read reads the results of a job from a position on.
func (i *instance) read(id string, after int) (total int, results []result, status int) {
	status, answer, _ := i.call(http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", map[string]string{"Wait-Ms": "1000"}, nil, 4*time.Second)
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &page) != nil {
		status = 0
	}
	return page.Total, page.Results, status
}

// ordinary sends ordinary streams to the instances in turn, until ctx ends, and counts the answers.
type ordinary struct {
	mu             sync.Mutex
	sent, answered int
	statuses       map[string]int
}

func (f *fleet) ordinaryClients(ctx context.Context, pause time.Duration) *ordinary {
	o := &ordinary{statuses: make(map[string]int)}
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			go func() {
				i := f.instances[n%len(f.instances)]
				id := newID()
				status, _, err := i.call(http.MethodPost, "/pufi791/2f", id, tokenHeader(), []byte("{}"), 5*time.Second)
				o.mu.Lock()
				defer o.mu.Unlock()
				o.sent++
				if status == http.StatusOK {
					o.answered++
				}
				key := fmt.Sprint(status)
				if err != nil {
					key = "no answer"
				}
				o.statuses[key]++
			}()
			time.Sleep(pause)
		}
	}()
	return o
}

func (o *ordinary) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("ordinary streams: %d sent, %d answered with 200, by status %v", o.sent, o.answered, o.statuses)
}
