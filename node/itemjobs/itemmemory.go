package itemjobs

import (
	"context"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/itemjob"
)

// submissionCopies is the number of times that a submitted job is in memory while it is recorded, beside its body: as items, in the parts of the store,
// and in the body of the call.
const submissionCopies = 3

// errItemsFull means that the items of accepted jobs take up their memory.
var errItemsFull = eris.New("items of accepted jobs take up their memory")

// BeginSubmission waits until a submitted job, whose body has a size in bytes, may be decoded and recorded. The caller must call done afterwards. It fails
// with ErrUnavailable if other jobs take up the memory for that, for as long as a submission may take.
func (s *Service) BeginSubmission(ctx context.Context, size int64) (done func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	weight := min(size*submissionCopies, s.memory.submissionBytes)
	if err := s.memory.submissions.Acquire(ctx, weight); err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "memory for a job of %d bytes: %v", size, err)
	}
	return func() { s.memory.submissions.Release(weight) }, nil
}

// reserveItems reserves the memory for the items of a job that is to be accepted, until release is called; the job itself counts from addOwned on. Complete
// jobs are evicted if that helps: later reads find them in the store. A job is accepted if no other one takes up memory.
func (s *Service) reserveItems(items []itemjob.Item) (release func(), ok bool) {
	var size int64
	for i := range items {
		size += items[i].Size()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.memory.items.Reserve(size) {
		if s.evictOldestComplete() {
			continue
		}
		if s.memory.items.Used() > 0 {
			return nil, false
		}
		s.memory.items.Adjust(size)
		break
	}
	return func() { s.memory.items.Release(size) }, true
}

// evictOldestComplete evicts the complete job that was submitted first. It returns false if there is none. The caller holds s.mu.
func (s *Service) evictOldestComplete() bool {
	var oldest *ownedJob
	for _, j := range s.jobs {
		if j.AllStored() && (oldest == nil || j.evictAt.Before(oldest.evictAt)) {
			oldest = j
		}
	}
	if oldest == nil {
		return false
	}
	s.evictComplete(oldest.ID, oldest)
	return true
}

// evictComplete removes a complete job from memory. The caller holds s.mu.
func (s *Service) evictComplete(id itemjob.ID, j *ownedJob) {
	delete(s.jobs, id)
	s.releaseItems(j)
	s.memory.recorded.remove(j)
}

// chargeItems updates the memory that is counted for the items of a job. The caller holds s.mu.
func (s *Service) chargeItems(j *ownedJob) {
	size := int64(0)
	if s.jobs[j.ID] == j {
		size = j.ItemBytes()
	}
	s.memory.items.Adjust(size - j.chargedItems)
	j.chargedItems = size
}

// releaseItems returns the memory that is counted for the items of a job. The caller holds s.mu.
func (s *Service) releaseItems(j *ownedJob) {
	s.memory.items.Release(j.chargedItems)
	j.chargedItems = 0
}
