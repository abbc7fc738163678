package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"eelgrassproxy.example/platform/standin"
)

const (
	poisonInstances = 8
	poisonWork      = 300 * time.Millisecond // of a replica before it answers 500
	poisonAttempts  = 3                      // max_attempts of the route
	rollGap         = 1300 * time.Millisecond
)

// poisonRun is a request with the item that reached a replica.
type poisonRun struct {
	before  int // answers of 500 to the item before
	inTouch bool
}

// playPoison submits a job with an item that fails at each run, and stops the instances one after the other, each time the one that started the item last.
func playPoison(f *fleet, trouble bool) (string, error) {
	const job, bad = "7c41e09b52d6a3f8", "e5b2907c14da6f38"
	var mu sync.Mutex
	var arrivals []poisonRun
	var answers []time.Time
	var starter *process // the instance that started the item last
	for range 4 {
		err := f.addReplica(12, 20*time.Millisecond, func(t *standin.Target) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Request-Id")
				if id != bad {
					t.ServeHTTP(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				sender := f.senderOf(r.RemoteAddr)
				inTouch := sender != nil && sender.calmFor(contact)
				name := "?"
				mu.Lock()
				if sender != nil {
					name, starter = sender.name, sender
				}
				n := len(answers)
				arrivals = append(arrivals, poisonRun{n, inTouch})
				mu.Unlock()
				f.record.add("replica    %s begins %s from %s (in touch: %v), after %d answers of 500", t.ID, id, name, inTouch, n)
				w.Header().Set("Request-Id", id)
				w.Header().Set("Server-Stamp", "stamp."+id)
				select {
				case <-time.After(poisonWork):
				case <-r.Context().Done():
					f.record.add("replica    %s: the caller closed, %s ends without an answer", t.ID, id)
					return
				}
				w.WriteHeader(http.StatusInternalServerError)
				mu.Lock()
				answers = append(answers, time.Now())
				mu.Unlock()
				f.record.add("replica    %s answers 500 to %s", t.ID, id)
			})
		})
		if err != nil {
			return "", err
		}
	}
	if err := f.configure(7, batchRoute("pule252")); err != nil {
		return "", err
	}
	if err := f.start(poisonInstances); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // until all are in touch
	a := submit(f.instances[0].address(portFront), "/pule252/7c41e0", job, []item{newItem(bad, "/pule252/3/91c4")})
	f.record.add("client     job %s with the item %s: status %d, error %v", job, bad, a.status, a.err)
	if a.status != http.StatusAccepted {
		return "", fmt.Errorf("job: status %d, %v", a.status, a.err)
	}
	stopped := make(map[*process]bool)
	for range poisonInstances {
		// The platform stops the machine that started the item last, once each.
		time.Sleep(rollGap)
		mu.Lock()
		last := starter
		mu.Unlock()
		if trouble && last != nil && !stopped[last] {
			stopped[last] = true
			f.record.add("platform   SIGTERM to %s, which started the item last", last.name)
			last.terminate()
		}
	}
	time.Sleep(4 * time.Second)
	p, a := read(f.instances[0].address(portFront), job, 0, 0)
	f.record.add("client     reads job %s: status %d, results %+v", job, a.status, p.Results)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, run := range arrivals {
		if run.before >= 3*poisonAttempts && run.inTouch {
			late++
		}
	}
	f.record.add("replicas   %d runs of %s, %d answers of 500, %d runs began after %d answers, from machines in touch", len(arrivals), bad, len(answers), late, 3*poisonAttempts)
	if late > 0 {
		return fmt.Sprintf("BUDGET: the item reached a replica %d times from machines in touch after %d answers of 500", late, 3*poisonAttempts), nil
	}
	return "", nil
}
