package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"eelgrassproxy.example/platform/standin"
)

const (
	slowReplicas = 6
	slowEvents   = 40
	slowPause    = 20 * time.Millisecond
	slowRate     = 51.2  // prompt tokens that a replica reads in a ms, as the sheet says
	slowUsual    = 12800 // tokens of a usual prompt: a quarter of a second
	slowFactor   = 4     // a job that takes longer takes so many times as long: 51,200 tokens, below the 72,000 of a replica's memory
	slowJobs     = 20    // one of them takes longer: a share of .05
	slowItems    = 2     // of each job
	slowFinish   = 18 * time.Second
	slowCalm     = 5 * time.Second
	slowCut      = time.Second // a run that its sender ends within this time counts neither as had nor as failed
)

// slowRun is a run of an item at a replica.
type slowRun struct {
	item         string
	begun, ended time.Time // ended is zero while it runs
	cut          bool      // the sender ended it
}

// slowReplica is a sound replica: it reads the prompt at its rate and then sends events.
type slowReplica struct {
	id     string
	record *record
	mu     sync.Mutex
	runs   []*slowRun
}

func (s *slowReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body) // so that the server notices when the sender closes the connection
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	first := time.Duration(float64(tokens) / slowRate * float64(time.Millisecond))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &slowRun{item: id, begun: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.record.add("replica    %s begins %s after event %d; its prompt of %d tokens takes %.2f s", s.id, id, after, tokens, first.Seconds())
	sent, err := s.stream(w, r, id, after, first)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended, run.cut = time.Now(), err != nil
	s.record.add("replica    %s ends %s after %.2f s and %d events, error: %v", s.id, id, run.ended.Sub(run.begun).Seconds(), sent, err)
}

func (s *slowReplica) stream(w http.ResponseWriter, r *http.Request, id string, after int, first time.Duration) (sent int, err error) {
	w.Header().Set("Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	pause := first
	for n := after + 1; n <= slowEvents; n++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return sent, fmt.Errorf("the sender closed the connection")
		}
		pause = slowPause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, standin.Data(id, n)); err != nil {
			return sent, err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return sent, err
		}
		sent++
	}
	return sent, nil
}

// had counts the runs of an item, and those that a replica had between two times.
func (s *slowReplica) had(item string, from, to time.Time) (all, had int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.runs {
		if run.item != item {
			continue
		}
		all++
		shortCut := run.cut && run.ended.Sub(run.begun) < slowCut
		if !shortCut && run.begun.Before(to) && (run.ended.IsZero() || run.ended.After(from)) {
			had++
		}
	}
	return all, had
}

// playSlow submits jobs, one of which has prompts that take four times as long as the others.
func playSlow(f *fleet, trouble bool) (string, error) {
	var replicas []*slowReplica
	for range slowReplicas {
		err := f.addReplica(slowEvents, slowPause, func(t *standin.Target) http.Handler {
			s := &slowReplica{id: t.ID, record: f.record}
			replicas = append(replicas, s)
			return s
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
	jobs := make(map[string][]string) // ids of the items
	for n := range slowJobs {
		id, tokens := fmt.Sprintf("7c41e09b52d6a3%02x", n), slowUsual
		if trouble && n == slowJobs/2 {
			tokens *= slowFactor
		}
		var items []item
		for i := range slowItems {
			next := newItem(fmt.Sprintf("e5b2907c14da%02x%02x", n, i), "/pule252/3/91c4")
			next.Headers["Token-Count"] = fmt.Sprintf("%d,400", tokens)
			next.Headers["Prompt-Prefix"] = fmt.Sprintf("9c2e41:100,%s:%d", next.ID, tokens-100)
			next.Tokens = tokens + 400
			items = append(items, next)
			jobs[id] = append(jobs[id], next.ID)
		}
		p := f.instances[n%len(f.instances)]
		a := submit(p.address(portFront), "/pule252/7c41e0", id, items)
		f.record.add("client     job %s with %d items of %d tokens to %s: status %d, error %v", id, len(items), tokens, p.name, a.status, a.err)
		if a.status != http.StatusAccepted {
			return "", fmt.Errorf("job %s: status %d, %v", id, a.status, a.err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.record.add("client     the traffic ends, batch jobs have %v more", slowFinish)
	end := time.Now().Add(slowFinish)
	time.Sleep(time.Until(end))
	var open []string
	for n := range slowJobs {
		id := fmt.Sprintf("7c41e09b52d6a3%02x", n)
		p, a := read(f.instances[n%len(f.instances)].address(portFront), id, 0, 0)
		f.record.add("client     reads job %s: status %d, %d results of %d", id, a.status, len(p.Results), p.Total)
		if a.err != nil || a.status != http.StatusOK {
			return "", fmt.Errorf("read of job %s: status %d, %v", id, a.status, a.err)
		}
		if len(p.Results) < slowItems {
			open = append(open, id)
		}
	}
	time.Sleep(slowCut + 200*time.Millisecond) // until it is known of each run whether its sender ended it within that time
	for _, id := range open {
		runs, hadRuns := 0, 0
		for _, item := range jobs[id] {
			for _, r := range replicas {
				all, had := r.had(item, end.Add(-slowCalm), end)
				runs, hadRuns = runs+all, hadRuns+had
			}
		}
		f.record.add("replicas   %d runs of the items of job %s; in the last %v, %d that their sender did not end within %v", runs, id, slowCalm, hadRuns, slowCut)
		if hadRuns == 0 {
			return fmt.Sprintf("LOST: job %s is not done when finish_s is over; its items were begun %d times, and each time their sender ended the run before its first event", id, runs), nil
		}
	}
	return "", nil
}
