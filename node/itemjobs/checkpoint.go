package itemjobs

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// checkpointInterval is the interval at which the progress of running items is written, in one transaction for all jobs of an owner. A run
	// lasts about 5 s. The loss of all instances costs about the last 2 s of each run, less than half of the running work. The price is one store
	// call per owner every 2 s.
	checkpointInterval = 2 * time.Second
	// minCheckpointEvents is the number of new events from which a job's progress is written again.
	minCheckpointEvents = 30
	// maxCheckpointJobs and maxCheckpointBytes bound one transaction.
	maxCheckpointJobs  = 14
	maxCheckpointBytes = 700 << 10
	// checkpointTimeout bounds the transaction.
	checkpointTimeout = 2 * time.Second
)

// checkpoint writes the progress of running items periodically until ctx ends. If their owner is lost, the next one continues them from there.
func (s *Service) checkpoint(ctx context.Context) {
	for wait.For(ctx, checkpointInterval) {
		if s.StoreUnreachable() {
			continue
		}
		s.checkpointOnce(ctx)
	}
}

// checkpointEntry is the progress of a job that is to be written to the store.
type checkpointEntry struct {
	job    *ownedJob
	events int // number of events in the progress
	value  progress
	// discarded is ownedJob.discarded when the progress was read.
	discarded int
}

// checkpointOnce writes the progress of the jobs that dueCheckpoints returns, and drops those of them that this instance no longer owns.
func (s *Service) checkpointOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "job-progress"), checkpointTimeout)
	defer cancel()
	due, size := s.dueCheckpoints()
	if len(due) == 0 {
		return
	}
	done, err := s.memory.encode(ctx, int64(size))
	if err != nil {
		klog.V(1).InfoS("Progress of jobs could not be written", "jobs", len(due), "error", err.Error())
		return // the next round writes it again
	}
	defer done()
	batch := s.checkpointEntries(due)
	if len(batch) == 0 {
		return
	}
	var txn kv.Txn
	var jobs []*ownedJob
	for _, entry := range batch {
		ops, err := putJSON(partialKey(entry.job.ID), entry.value)
		if err != nil {
			klog.ErrorS(err, "Progress of a job cannot be encoded", "job", entry.job.ID)
			return
		}
		txn.Then = append(txn.Then, ops...)
		jobs = append(jobs, entry.job)
	}
	expectOwned(&txn, jobs)
	asOf := s.Now()
	result, err := s.Store.Txn(ctx, txn)
	if err != nil {
		klog.V(1).InfoS("Progress of jobs could not be written", "jobs", len(batch), "error", err.Error())
		return // the next round writes it again
	}
	s.applyConfirmation(jobs, result, asOf)
	if !result.Succeeded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range batch {
		if entry.job.discarded == entry.discarded {
			entry.job.checkpointedEvents = entry.events
		}
	}
}

// replaceProgress makes the next checkpoint write the progress of a job, since the one in the store, or one that is being written, may have events that
// were discarded. The caller holds s.mu.
func (j *ownedJob) replaceProgress() {
	j.discarded++
	j.checkpointedEvents = -minCheckpointEvents
}

// dueCheckpoints returns jobs with at least minCheckpointEvents new events, as far as their progress fits into one transaction, and its size in bytes.
func (s *Service) dueCheckpoints() (due []*ownedJob, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if !j.isRunnable() || len(due) == maxCheckpointJobs {
			continue
		}
		parts, bytes := s.unfinishedOutputs(j)
		if eventsOf(parts) < j.checkpointedEvents+minCheckpointEvents || size+bytes > maxCheckpointBytes {
			continue
		}
		size += bytes
		due = append(due, j)
	}
	return due, size
}

// checkpointEntries returns the progress of those of the jobs that still run here, as far as it fits into one transaction.
func (s *Service) checkpointEntries(due []*ownedJob) []checkpointEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []checkpointEntry
	size := 0
	for _, j := range due {
		parts, bytes := s.unfinishedOutputs(j)
		if size += bytes; !j.isRunnable() || size > maxCheckpointBytes {
			continue
		}
		batch = append(batch, checkpointEntry{j, eventsOf(parts), s.progressOf(j, parts), j.discarded})
	}
	return batch
}

// eventsOf returns the number of events in the progress of items.
func eventsOf(parts []unfinishedOutput) int {
	events := 0
	for _, p := range parts {
		events += p.progress.Events
	}
	return events
}

// unfinishedOutput is the progress of an item without its output, and the run that the item is in, or nil.
type unfinishedOutput struct {
	task     *itemjob.Task
	run      *run
	progress partial
}

// unfinishedOutputs returns the progress of a job's waiting and running items, up to maxProgressBytes, and the size of its outputs as JSON, in bytes.
// Nothing is copied. The caller holds s.mu.
func (s *Service) unfinishedOutputs(j *ownedJob) (parts []unfinishedOutput, size int) {
	running := make(map[*itemjob.Task]*run)
	for _, r := range s.runsOf(j) {
		running[r.task] = r
	}
	for _, t := range j.Tasks {
		part := unfinishedOutput{task: t, run: running[t], progress: partial{Index: t.Index, Last: t.LastEventID, Events: t.Events, Silent: t.SilentRuns}}
		bytes := t.Output.EncodedSize() + partOverhead
		if r := part.run; r != nil {
			r.mu.Lock()
			if n := r.output.Events(); n > 0 {
				part.progress.Last, part.progress.Events = r.lastEvent, t.Events+n
				bytes += r.output.EncodedSize() + partOverhead
			}
			r.mu.Unlock()
		} else if t.Phase != itemjob.Waiting {
			continue
		}
		if part.progress.Events == 0 && part.progress.Silent == 0 {
			continue
		}
		if size+bytes > maxProgressBytes {
			break
		}
		size += bytes
		parts = append(parts, part)
	}
	return parts, size
}

// progressOf returns the progress of a job with copies of the outputs. Events that arrived since unfinishedOutputs are included. The caller holds s.mu.
func (s *Service) progressOf(j *ownedJob, parts []unfinishedOutput) progress {
	p := progress{Age: j.Age(s.Now())}
	for _, part := range parts {
		item := part.progress
		if part.task.Output.Events() > 0 {
			item.Output = append(item.Output, part.task.Output.Text())
		}
		if r := part.run; r != nil {
			r.mu.Lock()
			if n := r.output.Events(); n > 0 {
				item.Last, item.Events = r.lastEvent, part.task.Events+n
				item.Output = append(item.Output, r.output.Text())
			}
			r.mu.Unlock()
		}
		p.Partials = append(p.Partials, item)
	}
	return p
}

// currentProgress returns the progress of a job's waiting and running items, up to maxProgressBytes. The caller holds s.mu.
func (s *Service) currentProgress(j *ownedJob) progress {
	parts, _ := s.unfinishedOutputs(j)
	return s.progressOf(j, parts)
}
