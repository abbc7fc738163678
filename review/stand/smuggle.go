package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"eelgrassproxy.example/platform/standin"
)

// playSmuggle submits a batch job with one item in whose path another request is hidden.
func playSmuggle(f *fleet, trouble bool) (string, error) {
	var mu sync.Mutex
	var arrived []string
	for range 4 {
		err := f.addReplica(12, 20*time.Millisecond, func(t *standin.Target) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				arrived = append(arrived, r.Header.Get("Request-Id"))
				mu.Unlock()
				f.record.add("replica    %s gets %s %s, Request-Id %q, Expect-Instance %q, Model %q", t.ID, r.Method, r.RequestURI, r.Header.Get("Request-Id"),
					r.Header.Get("Expect-Instance"), r.Header.Get("Model"))
				t.ServeHTTP(w, r)
			})
		})
		if err != nil {
			return "", err
		}
	}
	if err := f.configure(7, batchRoute("pule252")); err != nil {
		return "", err
	}
	if err := f.start(3); err != nil {
		return "", err
	}
	const job, good, hidden = "7c41e09b52d6a3f8", "e5b2907c14da6f38", "0badc0de0badc0de"
	path := "/pule252/3/91c4"
	if trouble {
		path += " HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + hidden + "\r\nModel: m\r\nToken-Count: 350,400\r\nContent-Length: 0\r\n\r\nPOST /pule252/3/91c5"
	}
	a := submit(f.instances[0].address(portFront), "/pule252/7c41e0", job, []item{newItem(good, path)})
	f.record.add("client     job %s with the item %s, path %q: status %d, error %v", job, good, path, a.status, a.err)
	if !trouble && a.status != http.StatusAccepted {
		return "", fmt.Errorf("job: status %d, %v", a.status, a.err)
	}
	until := time.Now().Add(8 * time.Second)
	for time.Now().Before(until) {
		p, a := read(f.instances[1].address(portFront), job, 0, time.Second)
		f.record.add("client     reads job %s: status %d, %d results of %d", job, a.status, len(p.Results), p.Total)
		if len(p.Results) > 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, id := range []string{good, hidden} {
		for _, r := range f.ledger.Runs(id) {
			f.record.add("replica    %s ran %s: status %d, path %q, %d events", r.Target, id, r.Status, r.Path, r.Events)
		}
	}
	if runs := f.ledger.Runs(hidden); len(runs) > 0 {
		return fmt.Sprintf("UNASKED: a replica ran %q, which no client sent, %d times", hidden, len(runs)), nil
	}
	if len(f.ledger.Runs(good)) == 0 && !trouble {
		return "", fmt.Errorf("the item did not run")
	}
	return "", nil
}
