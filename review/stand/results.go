package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"eelgrassproxy.example/platform/standin"
)

const (
	resultsReplicas = 9
	resultsJobs     = 20 // one of them takes longer: a share of .05
	resultsUsual    = 10 // items of a usual job: the mean of the site file
	resultsItems    = 24 // of the job that takes longer: the most of the site file; a job may have 200
	resultsEvents   = 60 // of a usual item
	resultsFactor   = 4  // the other job takes so many times as long: 240 events; the mean of the site file is 247, the most is 396
	resultsPause    = 20 * time.Millisecond
	resultsRow      = "<tr><td>A4</td><td>12</td><td>450</td><td>kr</td><td>1</td></tr>"
	resultsLine     = resultsRow + resultsRow // 128 bytes an event; the mean of the site file is 55, the most is 330
	resultsEach     = 500 * time.Millisecond  // between two jobs
	resultsFinish   = 18 * time.Second
	resultsCalm     = 5 * time.Second
)

// tableReplica is a sound replica that answers with the lines of a table.
type tableReplica struct {
	id     string
	events func(item string) int
	record *record

	mu      sync.Mutex           // guards the fields below, by item
	running map[string]int       // runs
	ends    map[string]time.Time // when the last run ended
	done    map[string]bool      // it was finished
}

func (t *tableReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.running[id]++
	t.mu.Unlock()
	total := t.events(id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	t.record.add("replica    %s begins %s after event %d of %d", t.id, id, after, total)
	err := t.stream(w, r, after, total)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id]--
	t.ends[id] = time.Now()
	t.done[id] = t.done[id] || err == nil
	t.record.add("replica    %s ends %s, error: %v", t.id, id, err)
}

func (t *tableReplica) stream(w http.ResponseWriter, r *http.Request, after, total int) error {
	w.Header().Set("Server-Stamp", "stamp."+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= total; n++ {
		select {
		case <-time.After(resultsPause):
		case <-r.Context().Done():
			return fmt.Errorf("the sender closed the connection")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, resultsLine); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}

// tableJob is a job, and how long its items are.
type tableJob struct {
	id     string
	items  []item
	events map[string]int // by item
}

func newTableJob(n int, trouble bool) tableJob {
	j := tableJob{id: fmt.Sprintf("7c41e09b52d6a3%02x", n), events: make(map[string]int)}
	items, events := resultsUsual, resultsEvents
	if n == resultsJobs/2 {
		items = resultsItems
		if trouble {
			events *= resultsFactor
		}
	}
	for i := range items {
		next := newItem(fmt.Sprintf("e5b2907c14da%02x%02x", n, i), "/pule252/3/91c4")
		next.Headers["Token-Count"] = fmt.Sprintf("350,%d", 8*events)
		next.Tokens = 350 + 8*events
		j.items = append(j.items, next)
		j.events[next.ID] = events + i%8
	}
	return j
}

// playResults submits jobs whose results are text in HTML. The results of one of them are four times as long as the others.
func playResults(f *fleet, trouble bool) (string, error) {
	lengths := make(map[string]int)
	var jobs []tableJob
	for n := range resultsJobs {
		j := newTableJob(n, trouble)
		maps.Copy(lengths, j.events)
		jobs = append(jobs, j)
	}
	var replicas []*tableReplica
	for range resultsReplicas {
		err := f.addReplica(resultsEvents, resultsPause, func(t *standin.Target) http.Handler {
			r := &tableReplica{id: t.ID, events: func(id string) int { return lengths[id] }, record: f.record, done: make(map[string]bool), ends: make(map[string]time.Time), running: make(map[string]int)}
			replicas = append(replicas, r)
			return r
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
	for n, j := range jobs {
		p := f.instances[n%len(f.instances)]
		a := submit(p.address(portFront), "/pule252/7c41e0", j.id, j.items)
		f.record.add("client     job %s with %d items to %s: status %d, error %v", j.id, len(j.items), p.name, a.status, a.err)
		if a.status != http.StatusAccepted {
			return "", fmt.Errorf("job %s: status %d, %v", j.id, a.status, a.err)
		}
		time.Sleep(resultsEach)
	}
	f.record.add("client     the traffic ends, batch jobs have %v more", resultsFinish)
	end := time.Now().Add(resultsFinish)
	time.Sleep(time.Until(end))
	broken := ""
	for _, j := range jobs {
		results, err := f.readAll(j)
		if err != nil {
			return "", err
		}
		f.record.add("client     reads job %s: %d results of %d", j.id, len(results), len(j.items))
		for id, text := range results {
			if text != strings.TrimPrefix(strings.Repeat("\n"+resultsLine, lengths[id]), "\n") {
				return fmt.Sprintf("MIXED: the result of %s has %d bytes, which are not its whole output", id, len(text)), nil
			}
		}
		if len(results) < len(j.items) && broken == "" {
			broken = j.judge(f, replicas, results, end)
		}
	}
	return broken, nil
}

// readAll reads the outputs of the completed items of a job from its start.
func (f *fleet) readAll(j tableJob) (map[string]string, error) {
	results := make(map[string]string)
	for after := 0; ; {
		p, a := read(f.instances[1].address(portFront), j.id, after, 0)
		if a.err != nil || a.status != http.StatusOK {
			return nil, fmt.Errorf("read of job %s: status %d, %v", j.id, a.status, a.err)
		}
		for _, r := range p.Results {
			if r.State == "completed" {
				results[r.ID] = r.Output
			}
		}
		if p.Next <= after || p.Next >= len(j.items) {
			return results, nil
		}
		after = p.Next
	}
}

// judge returns how the rule was broken for a job that is not done at the end, or "" if it was not.
func (j tableJob) judge(f *fleet, replicas []*tableReplica, results map[string]string, end time.Time) string {
	finished, recent := 0, 0
	var last time.Time
	for _, next := range j.items {
		done := false
		for _, r := range replicas {
			r.mu.Lock()
			done = done || r.done[next.ID]
			at, ran := r.ends[next.ID]
			running := r.running[next.ID]
			r.mu.Unlock()
			if at.After(last) {
				last = at
			}
			if running > 0 || ran && at.After(end.Add(-resultsCalm)) {
				recent++
			}
		}
		if done {
			finished++
		}
	}
	f.record.add("replicas   job %s: %d results are listed; %d of %d items were finished at replicas, the last one %.1f s before the end; %d runs in the last %v",
		j.id, len(results), finished, len(j.items), end.Sub(last).Seconds(), recent, resultsCalm)
	if recent > 0 {
		return ""
	}
	return fmt.Sprintf("LOST: job %s has %d results of %d when finish_s is over; replicas had finished %d of its items, the last one %.1f s before", j.id, len(results),
		len(j.items), finished, end.Sub(last).Seconds())
}
