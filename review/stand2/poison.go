package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	maxAttempts = 3 // of the route of batch jobs
	failsAfter  = 600 * time.Millisecond
)

// poison submits a job with an item that fails at each run, and one that does not. With trouble, four machines are stopped and started in turn, each time the
// one that started the item last. Which one that is, the platform sees in its store.
func poison(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 6, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134, slowFailures: failsAfter})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	items := []item{newItem(200), newItem(200)}
	bad := items[1].ID
	items[1].Headers["Standin-Status"] = "500"
	job := newID()
	status, err := f.instances[0].submit(job, items, 4*time.Second)
	f.note("job %s submitted to %s: status %d, error %v; item %s fails at each run", job, f.instances[0].name, status, err, bad)
	if status != http.StatusAccepted {
		return cannotRun, fmt.Errorf("the job was answered %d", status)
	}
	stopped := make(map[string]time.Time)
	inRun, reported := 0, 0 // of the present owner
	owner := ""
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		runs := f.ledger.Runs(bad)
		answered := f.answered500(bad)
		for ; reported < len(runs); reported++ {
			f.note("run %d of item %s reaches replica %s; %d answers of 500 before; the job's owner is %s", reported+1, bad, runs[reported].Target, answered, f.owner(job))
		}
		if answered >= 3*maxAttempts && runs[len(runs)-1].Ended.IsZero() {
			last := f.owner(job)
			f.note("BUDGET broken: the item reaches a replica again after %d answers of 500, from %s, which was not stopped (%v)", answered, last, stopped[last].IsZero())
			if !stopped[last].IsZero() {
				return held, nil // not in touch
			}
			return broken, nil
		}
		if now := f.owner(job); now != owner {
			owner, inRun = now, answered
		}
		_, results, _ := f.instances[1].readNow(job, 0)
		if len(results) == len(items) {
			f.note("the job is complete: %v; BUDGET held with %d runs and %d answers of 500", states(results), len(runs), answered)
			return held, nil
		}
		if trouble && owner != "" && answered-inRun >= maxAttempts-1 && len(stopped) < 4 && stopped[owner].IsZero() {
			stopped[owner] = time.Now()
			i := f.byName(owner)
			f.note("SIGTERM to %s after %d answers of 500", owner, answered)
			i.signal(syscall.SIGTERM)
		}
	}
	f.note("the job did not end")
	return held, nil
}

func states(results []result) (list []string) {
	for _, r := range results {
		list = append(list, r.State)
	}
	return list
}

func (f *fleet) byName(name string) *instance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// owner returns the name of the machine that the store names as the owner of an open job, or "".
func (f *fleet) owner(job string) string {
	value, ok := f.store.Get("/eelgrass/item-jobs/open/" + job)
	var mark struct {
		Owner string `json:"owner"`
	}
	if !ok || json.Unmarshal(value, &mark) != nil {
		return ""
	}
	return mark.Owner
}

// readNow is read without waiting.
func (i *instance) readNow(id string, after int) (total int, results []result, status int) {
	status, answer, _ := i.call(http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", nil, nil, time.Second)
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &page) != nil {
		status = 0
	}
	return page.Total, page.Results, status
}
