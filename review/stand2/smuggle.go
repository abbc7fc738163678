package main

import (
	"fmt"
	"net/http"
	"time"
)

// smuggle submits a job with an ordinary item and one that has the text of another request in a header's value, and one that has it in its path. Without
// trouble, the same texts are left out.
func smuggle(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 3, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	sent := make(map[string]bool)
	inHeader, inPath := newID(), newID()
	items := []item{newItem(200), newItem(200), newItem(200)}
	for _, it := range items {
		sent[it.ID] = true
	}
	if trouble {
		items[1].Headers["Length-Hint"] = "40\r\nContent-Length: 0\r\n\r\n" + inner(inHeader)
		items[2].Path += " HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Length: 0\r\n\r\n" + inner(inPath)
	}
	job := newID()
	status, err := f.instances[0].submit(job, items, 4*time.Second)
	f.note("job %s with %d items submitted to %s: status %d, error %v", job, len(items), f.instances[0].name, status, err)
	for _, it := range items {
		f.note("  item %s: path %q, headers %q", it.ID, it.Path, it.Headers)
	}
	end := time.Now().Add(20 * time.Second)
	for next := 0; time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		_, results, _ := f.instances[1].read(job, next)
		for _, r := range results {
			f.note("result at position %d: item %s %s", next, r.ID, r.State)
			next++
		}
		if next == len(items) || trouble && len(foreign(f, sent)) > 0 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	runs := f.ledger.Runs("")
	for _, r := range runs {
		f.note("run at replica %s: request %q, path %q, status %d, client sent it: %v", r.Target, r.Request, r.Path, r.Status, sent[r.Request])
	}
	if bad := foreign(f, sent); len(bad) > 0 {
		f.note("UNASKED broken: replicas ran %d requests whose id no client sent: %q", len(bad), bad)
		return broken, nil
	}
	if !trouble && (status != http.StatusAccepted || len(runs) == 0) {
		return cannotRun, fmt.Errorf("the job was answered %d, %d runs", status, len(runs))
	}
	f.note("UNASKED held")
	return held, nil
}

// inner is the text of a request with an id that no client sent. Its last header takes up what follows.
func inner(id string) string {
	return "POST /lohu930/1 HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Count: 450,180\r\nX-Rest: "
}

// foreign returns the ids of the requests that ran though no client sent them.
func foreign(f *fleet, sent map[string]bool) []string {
	var ids []string
	for _, r := range f.ledger.Runs("") {
		if !sent[r.Request] {
			ids = append(ids, r.Request)
		}
	}
	return ids
}
