package itemjobs

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// checkpointPeriod is how often the progress of running items is written, in one transaction for all jobs of an owner. A run lasts about
	// five seconds, so that a loss of all instances costs less than half of what runs, at half a call a second.
	checkpointPeriod = 2 * time.Second
	// checkpointEvents is the number of new events below which a job's progress is not written again.
	checkpointEvents = 30
	// maxCheckpointJobs and maxCheckpointBytes bound one transaction.
	maxCheckpointJobs  = 14
	maxCheckpointBytes = 700 << 10
	// checkpointTimeout bounds the write.
	checkpointTimeout = 2 * time.Second
)

// checkpoint writes the progress of running items, so that they go on where they were when their owner is lost.
func (s *Service) checkpoint(ctx context.Context) {
	for wait.For(ctx, checkpointPeriod) {
		if s.Lost() {
			continue
		}
		s.checkpointOnce(ctx)
	}
}

// saved is a job's progress on its way to the store.
type saved struct {
	job    *owned
	events int // in the progress
	value  progress
}

func (s *Service) checkpointOnce(ctx context.Context) {
	batch := s.unsaved()
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "job-progress"), checkpointTimeout)
	defer cancel()
	var txn kv.Txn
	var jobs []*owned
	for _, one := range batch {
		ops, err := putJSON(partialKey(one.job.ID), one.value)
		if err != nil {
			klog.ErrorS(err, "Progress of a job cannot be encoded", "job", one.job.ID)
			return
		}
		txn.Then = append(txn.Then, ops...)
		jobs = append(jobs, one.job)
	}
	expectOwned(&txn, jobs)
	asOf := time.Now()
	result, err := s.Store.Txn(ctx, txn)
	if err != nil {
		klog.V(1).InfoS("Progress of jobs was not written", "jobs", len(batch), "error", err.Error())
		return // the next round writes it again
	}
	s.learn(jobs, result, asOf)
	if !result.Succeeded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range batch {
		one.job.savedEvents = one.events
	}
}

// unsaved returns the progress that is worth writing, as far as it fits into one transaction.
func (s *Service) unsaved() []saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []saved
	size := 0
	for _, j := range s.jobs {
		if !j.isRunnable() || len(batch) == maxCheckpointJobs {
			continue
		}
		value := s.currentProgress(j)
		events := 0
		for _, p := range value.Partials {
			events += p.Events
		}
		bytes := sizeOf(value.Partials)
		if events < j.savedEvents+checkpointEvents || size+bytes > maxCheckpointBytes {
			continue
		}
		size += bytes
		batch = append(batch, saved{j, events, value})
	}
	return batch
}

// currentProgress returns the progress of a job's unfinished items, the running ones included; s.mu is held.
func (s *Service) currentProgress(j *owned) progress {
	p := progress{}
	running := make(map[*itemjob.Task]*run)
	for _, r := range s.runsOf(j) {
		running[r.task] = r
	}
	size := 0
	for _, t := range j.Tasks {
		one := partial{Index: t.Index, Last: t.Last, Events: t.Events, Output: t.Output}
		if r, ok := running[t]; ok {
			r.mu.Lock()
			if len(r.received) > 0 {
				one.Last, one.Events = r.last, t.Events+len(r.received)
				one.Output = append(slices.Clip(t.Output), r.received...)
			}
			r.mu.Unlock()
		} else if t.Phase != itemjob.Waiting {
			continue
		}
		if one.Events == 0 {
			continue
		}
		if size += sizeOf([]partial{one}); size > maxProgressBytes {
			break
		}
		p.Partials = append(p.Partials, one)
	}
	return p
}

func sizeOf(partials []partial) int {
	size := 0
	for _, p := range partials {
		for _, data := range p.Output {
			size += len(data) + eventOverhead
		}
	}
	return size
}
