package main

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	drainEvents = 36                    // of each stream: the mean of the sheet
	drainPause  = 60 * time.Millisecond // between two events; the sheet allows 200 ms
)

// playDrain sends streams to an instance that got SIGTERM, by an answer of the directory from just before.
func playDrain(f *fleet, trouble bool) (string, error) {
	for range 4 {
		if err := f.addReplica(drainEvents, drainPause, nil); err != nil {
			return "", err
		}
	}
	if err := f.configure(7, streamRoute("lohu930")); err != nil {
		return "", err
	}
	if err := f.start(3); err != nil {
		return "", err
	}
	// The client is in the first zone and asks the directory there.
	leaving := f.instances[0]
	asked := time.Now()
	addresses, ttl, err := resolve(leaving.address(portDirectory), zones[0])
	if err != nil {
		return "", err
	}
	f.record.add("client     the directory answers %v, ttl %v", addresses, ttl)
	if !slices.Contains(addresses, leaving.address(portFront)) {
		return "", fmt.Errorf("the directory doesn't name %s", leaving.name)
	}
	signalled := time.Now()
	if trouble {
		leaving.terminate()
		f.record.add("platform   SIGTERM to %s", leaving.name)
	}
	var mu sync.Mutex
	var broken string
	var group sync.WaitGroup
	for n, after := range []time.Duration{1000, 4800, 5200, 5500, 5800} {
		group.Go(func() {
			time.Sleep(time.Until(signalled.Add(after * time.Millisecond)))
			if age := time.Since(asked); age > 3*ttl {
				f.record.add("client     answer of the directory is %v old, too old", age)
				return
			}
			id := fmt.Sprintf("9c41d07be2a35f%02x", n)
			f.record.add("client     %s sent to %s, %.2f s after the signal", id, leaving.name, time.Since(signalled).Seconds())
			a := send(leaving.address(portFront), "POST", "/lohu930/2f", map[string]string{"Request-Id": id, "Model": "m", "Token-Count": "450,80",
				"Prompt-Prefix": "5c1e07a2:200,91bd3f06:250", "Deadline-Ms": "5000"}, []byte("ad line"), 5*time.Second)
			events := bytes.Count(a.body, []byte("\n\n"))
			f.record.add("client     %s: status %d, %d of %d events, complete %v, after %.2f s, %.2f s after the signal, error %v", id, a.status, events, drainEvents,
				a.complete, a.ended.Sub(a.sent).Seconds(), a.ended.Sub(signalled).Seconds(), a.err)
			time.Sleep(200 * time.Millisecond) // until the replica has noticed a cut
			runs := f.ledger.Runs(id)
			for _, r := range runs {
				f.record.add("replica    %s ran %s: status %d, %d events until %.2f s after the signal", r.Target, id, r.Status, r.Events, r.Ended.Sub(signalled).Seconds())
			}
			excused := a.sent.Sub(signalled) <= 3*time.Second
			if len(runs) > 0 && !(a.complete && events == drainEvents) && !excused && a.ended.Sub(a.sent) < 4900*time.Millisecond {
				mu.Lock()
				defer mu.Unlock()
				broken = fmt.Sprintf("LOST: %s was passed on to a replica and its connection ended after %d of %d events", id, events, drainEvents)
			}
		})
	}
	group.Wait()
	return broken, nil
}
