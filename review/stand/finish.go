package main

import (
	"fmt"
	"time"
)

// Bounds of the sheets: when the results of a batch job are due, and how long batch jobs have after the traffic has ended.
const (
	runSLO = 18 * time.Second
	finish = 18 * time.Second
)

// batchJob is an accepted batch job.
type batchJob struct {
	id    string
	items []item
}

// judgeFinished reads batch jobs until a time, or until all their items are listed, and then applies the rule about unlisted items.
func (f *fleet) judgeFinished(addresses []string, jobs []batchJob, until time.Time) (string, error) {
	listed := make(map[string]string) // state by item
	counts := make([]int, len(jobs))
	total, shown := 0, -1
	for _, j := range jobs {
		total += len(j.items)
	}
	for n := 0; time.Now().Before(until) && len(listed) < total; n++ {
		for k, j := range jobs {
			if counts[k] == len(j.items) {
				continue
			}
			p, a := read(addresses[n%len(addresses)], j.id, counts[k], 0)
			if a.err != nil || a.status != 200 {
				f.record.add("client     reads batch job %s from position %d: status %d, error %v", j.id, counts[k], a.status, a.err)
			}
			for _, r := range p.Results {
				listed[r.ID] = r.State
			}
			counts[k] += len(p.Results)
		}
		if len(listed) != shown || n%10 == 0 {
			shown = len(listed)
			f.record.add("client     %d of %d items are listed", shown, total)
		}
		time.Sleep(500 * time.Millisecond)
	}
	states := make(map[string]int)
	for _, state := range listed {
		states[state]++
	}
	f.record.add("client     results at the end: %v", states)
	if len(listed) == total {
		return "", nil
	}
	return f.judgeUnlisted(jobs, listed), nil
}

// judgeUnlisted applies the rule: items that are not listed break it if in the last 5 s no replica had one of them, and in the last 3 s no item of any
// batch job was finished.
func (f *fleet) judgeUnlisted(jobs []batchJob, listed map[string]string) string {
	now := time.Now()
	had, finished, ran := 0, 0, make(map[string]bool)
	for _, r := range f.ledger.Runs("") {
		ran[r.Request] = true
		if listed[r.Request] == "" && (r.Ended.IsZero() || r.Ended.After(now.Add(-5*time.Second))) {
			had++
		}
		if r.Ended.After(now.Add(-3 * time.Second)) {
			finished++
		}
	}
	missing, never := 0, 0
	for _, j := range jobs {
		for _, i := range j.items {
			if listed[i.ID] == "" {
				missing++
				if !ran[i.ID] {
					never++
				}
			}
		}
	}
	f.record.add("judge      %d items are not listed, %d of them never reached a replica; in the last 5 s replicas had %d unlisted items, in the last 3 s %d runs ended",
		missing, never, had, finished)
	if had > 0 || finished > 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d items of accepted batch jobs are neither completed nor dead_lettered when finish_s is over, %d of them never reached a replica, and the replicas are idle", missing, never)
}
