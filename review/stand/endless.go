package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/platform/standin"
)

const (
	endlessReplicas = 9
	endlessBad      = 5  // a share of .56 of the replicas
	endlessEach     = 33 // each of them spoils one in so many of its answers: .03
	endlessEvents   = 60
	endlessPause    = 30 * time.Millisecond
	endlessOn       = 5500 * time.Millisecond // how long answers are spoiled
	endlessOff      = 2500 * time.Millisecond // the pause between
	endlessTraffic  = 100 * time.Second
	endlessLine     = 16 << 10
	endlessBurst    = 1 << 20               // bytes after which the replica pauses
	endlessRest     = 10 * time.Millisecond // 1 MB in 10 ms is less than 1,000 Mbit/s
	endlessEnds     = 3                     // ends by itself of one process that count
)

// spoils is the handler of a replica that goes on after the end of some answers, without end, until the caller closes.
type spoils struct {
	sound   *standin.Target
	fleet   *fleet
	active  *atomic.Bool
	answers atomic.Int64
}

func (s *spoils) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != s.sound.ID || !s.active.Load() || s.answers.Add(1)%endlessEach != 0 {
		s.sound.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	line := strings.Repeat("x", endlessLine)
	sent := 0
	for number := 0; ; number++ {
		data := standin.Data(id, number)
		if number >= endlessEvents {
			data = line
		}
		n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data)
		if err != nil {
			break
		}
		if sent/endlessBurst != (sent+n)/endlessBurst {
			time.Sleep(endlessRest)
		}
		sent += n
	}
	s.fleet.record.add("replica    %s sent %d KB without end in the answer to %s, until the caller closed", s.sound.ID, sent>>10, id)
}

// playEndless gives batch jobs to a fleet of whose replicas some send bytes without end in a few of their answers.
func playEndless(f *fleet, trouble bool) (string, error) {
	f.limitMemory = true
	var active atomic.Bool
	for n := range endlessReplicas {
		wrap := func(t *standin.Target) http.Handler { return &spoils{sound: t, fleet: f, active: &active} }
		if n >= endlessBad || !trouble {
			wrap = nil
		}
		if err := f.addReplica(endlessEvents, endlessPause, wrap); err != nil {
			return "", err
		}
	}
	if err := f.configure(7, batchRoute("pule252")); err != nil {
		return "", err
	}
	if err := f.start(3); err != nil {
		return "", err
	}
	started := time.Now()
	accepted := 0
	for n := 0; time.Since(started) < endlessTraffic; n++ {
		active.Store(time.Since(started)%(endlessOn+endlessOff) < endlessOn)
		id := fmt.Sprintf("7c41e09b52d6%04x", n)
		var items []item
		for i := range 10 {
			items = append(items, newItem(fmt.Sprintf("e5b2907c%04x%04x", n, i), "/pule252/3/91c4"))
		}
		p := f.instances[n%len(f.instances)]
		a := submit(p.address(portFront), "/pule252/7c41e0", id, items)
		f.record.add("client     job %s to %s: status %d, error %v", id, p.name, a.status, a.err)
		if a.status == http.StatusAccepted {
			accepted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	often := 0
	summary := ""
	for _, p := range f.instances {
		p.mu.Lock()
		summary += fmt.Sprintf("%s: peak %d MB, killed %d times; ", p.name, p.peak>>20, len(p.killed))
		if len(p.killed) >= endlessEnds {
			often++
		}
		p.mu.Unlock()
	}
	f.record.add("platform   %s%d jobs accepted", summary, accepted)
	if accepted == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	if often >= 2 {
		return fmt.Sprintf("Fault: on %d of %d machines the process used more than %d MB and ended at least %d times: %s", often, len(f.instances), memoryMB, endlessEnds, summary), nil
	}
	return "", nil
}
