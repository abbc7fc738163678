package main

import (
	"fmt"
	"time"

	"eelgrassproxy.example/platform/standin"
)

const (
	staleDownAfter = 300 * time.Millisecond // from a change of the configuration to the outage of the store
	staleDownFor   = 5 * time.Second
	staleCalm      = contact + 500*time.Millisecond // from the end of the outage to the next change
	staleApply     = 2500 * time.Millisecond        // config_apply_ms
	staleRequests  = 40
)

// playStale changes the configuration, takes the store away for some seconds, and changes the configuration again when all is calm.
func playStale(f *fleet, trouble bool) (string, error) {
	for n := range 8 {
		if err := f.addReplicaOf([]string{service, otherService}[n%2], 10, 10*time.Millisecond, nil); err != nil {
			return "", err
		}
	}
	moved := streamRoute("lohu930")
	if err := f.configure(7, moved, batchRoute("pule252")); err != nil {
		return "", err
	}
	if err := f.start(3); err != nil {
		return "", err
	}
	time.Sleep(contact)
	other := batchRoute("pule252")
	other["timeout_ms"] = 16000
	if err := f.configure(9, moved, other); err != nil {
		return "", err
	}
	f.record.add("operator   version 9 is acknowledged: a time-out changes")
	time.Sleep(staleDownAfter)
	if trouble {
		f.store.SetFault("", standin.Silent)
		f.record.add("platform   the store is down: it answers nothing")
	}
	time.Sleep(staleDownFor)
	if trouble {
		f.store.SetFault("", standin.Healthy)
		f.record.add("platform   the store is back")
	}
	time.Sleep(staleCalm)
	moved = streamRoute("lohu930")
	moved["service"] = otherService
	if err := f.configure(12, moved, other); err != nil {
		return "", err
	}
	acknowledged := time.Now()
	f.record.add("operator   version 12 is acknowledged: the route moves from %s to %s", service, otherService)
	time.Sleep(staleApply + 100*time.Millisecond)
	late := 0
	var last time.Duration
	for n := range staleRequests {
		p := f.instances[n%len(f.instances)]
		id := fmt.Sprintf("9c41d07be2a3%04x", n)
		a := send(p.address(portFront), "POST", "/lohu930/2f", map[string]string{"Request-Id": id, "Model": "m", "Token-Count": "450,80",
			"Prompt-Prefix": "5c1e07a2:200,91bd3f06:250", "Deadline-Ms": "5000"}, []byte("ad line"), 5*time.Second)
		for _, r := range f.ledger.Runs(id) {
			f.record.add("replica    %s of %s ran %s, which was sent to %s %.2f s after the acknowledgement; the client got %d", r.Target, r.Service, id, p.name,
				a.sent.Sub(acknowledged).Seconds(), a.status)
			if r.Service == service {
				late++
				last = a.sent.Sub(acknowledged)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests that were sent later than %v after the acknowledgement were run by the old service, the last one %.1f s after it",
			late, staleRequests, staleApply, last.Seconds()), nil
	}
	return "", nil
}
