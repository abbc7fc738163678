package batch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/jobs"
)

// checkResults checks the recorded results of all jobs against the items that ran.
func (r *scheduleRun) checkResults() {
	service := jobs.New(r.store, r.bulk)
	ctx := context.Background()
	for _, s := range submitted {
		id, ok := r.acked[s.key]
		if !ok {
			continue
		}
		job, err := service.Get(ctx, caller, id)
		if err != nil {
			r.violation("job %s: %v", s.key, err)
			continue
		}
		var output, failed bytes.Buffer
		if err := errors.Join(service.Output(ctx, caller, id, &output), service.Errors(ctx, caller, id, &failed)); err != nil {
			r.violation("results of job %s: %v", s.key, err)
			continue
		}
		r.checkJob(s.key, s.items, s.repeatable, job, output.Bytes(), failed.Bytes())
	}
}

func (r *scheduleRun) checkJob(key string, items int, repeatable bool, job jobs.JobWithProgress, output, failed []byte) {
	statuses := map[string]string{}
	for _, data := range [][]byte{output, failed} {
		for decoder := json.NewDecoder(bytes.NewReader(data)); decoder.More(); {
			var line struct {
				CustomID string                 `json:"custom_id"`
				Error    *struct{ Code string } `json:"error"`
			}
			if err := decoder.Decode(&line); err != nil {
				r.violation("line of job %s: %v", key, err)
				return
			}
			if statuses[line.CustomID] != "" {
				r.violation("item %s has two results", line.CustomID)
			}
			statuses[line.CustomID] = "completed"
			if line.Error != nil {
				statuses[line.CustomID] = line.Error.Code
			}
		}
	}
	if job.State == core.JobCompleted && len(statuses) != items {
		r.violation("job %s is completed with %d of %d results", key, len(statuses), items)
	}
	for i := range items {
		r.checkItem(key, i, repeatable, statuses[fmt.Sprintf("%s-%d", key, i)], r.ran[fmt.Sprintf("%s-%d", job.ID, i)])
	}
}

func (r *scheduleRun) checkItem(key string, i int, repeatable bool, status string, ran int) {
	switch {
	case !repeatable && ran > 1:
		r.violation("non-repeatable item %s-%d ran %d times", key, i, ran)
	case status == "completed" && ran == 0:
		r.violation("item %s-%d is completed although it never ran", key, i)
	case status == string(core.ItemExpired):
		r.violation("item %s-%d expired before the end of its window", key, i)
	case repeatable && status == string(core.ItemUnknown):
		r.violation("repeatable item %s-%d ended as unknown", key, i)
	case status == string(core.ItemFailed) && i%17 != 3:
		r.violation("item %s-%d failed although it is not an item that always fails", key, i)
	case status == "completed" && i%17 == 3:
		r.violation("item %s-%d is completed although it always fails", key, i)
	}
}
