package itemjobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

// Page is a range of a job's results.
type Page struct {
	Total   int              `json:"total"`   // number of items of the job
	Results []itemjob.Result `json:"results"` // from the requested position on
	Next    int              `json:"next"`    // position after the last of them

	release func() // returns the memory for the page
}

// Release ends the use of the page. It must be called when the results were passed on, or no longer are.
func (p *Page) Release() {
	if p.release != nil {
		p.release()
		p.release = nil
	}
}

const (
	// maxPageBytes bounds the JSON of a page that has several results; clients accept a megabyte.
	maxPageBytes = 900 << 10
	// readTimeout bounds the store calls of a read.
	readTimeout = 2 * time.Second
)

// pageOf returns a page with as many of the results as fit. The first of them is at the position.
func pageOf(total int, results []itemjob.Result, position int) Page {
	n := min(max(itemjob.FittingResults(results, maxPageBytes), 1), len(results))
	return Page{Total: total, Results: append([]itemjob.Result{}, results[:n]...), Next: position + n}
}

// Read returns the recorded results of a job from position after on. If there are none yet, it waits for one, for at most maxWait. It reads
// from the owner of the job, or from the store without waiting if the owner cannot be read. The caller must call Page.Release after it. Errors:
// ErrNotFound, also for another account's job, ErrUnavailable, also if pages that are being sent to other readers take up their memory, ErrBadRecord.
func (s *Service) Read(ctx context.Context, caller itemjob.Caller, id itemjob.ID, after int, maxWait time.Duration) (Page, error) {
	if page, ok := s.ReadOwned(ctx, caller, id, after, maxWait); ok {
		if !s.memory.reservePage(&page) {
			return Page{}, errPagesFull
		}
		return page, nil
	}
	if owner, ok := s.ownerOf(id); ok {
		if page, err := s.readPeer(ctx, owner, caller, id, after, maxWait); err == nil {
			return page, nil
		}
	}
	return s.readStored(kv.WithPurpose(ctx, "job-read"), caller, id, after, maxWait)
}

// errPagesFull means that the memory for pages is used up.
var errPagesFull = fmt.Errorf("%w: results that are being read take up their memory", ErrUnavailable)

// readPeer reads from the owner of a job.
func (s *Service) readPeer(ctx context.Context, address string, caller itemjob.Caller, id itemjob.ID, after int, maxWait time.Duration) (Page, error) {
	var held Page
	page, err := s.calls.read(ctx, address, caller, id, after, maxWait, func(size int64) error {
		if size < 0 {
			size = maxPageBytes // from a peer of an earlier build
		}
		if !s.memory.reservePageBytes(&held, size*peerPageCopies) {
			return errPagesFull
		}
		return nil
	})
	if err != nil {
		held.Release()
		return Page{}, err
	}
	page.release = held.release
	return page, nil
}

// ReadOwned is Read for a job that this instance owns or keeps in memory; ok is false for any other job, for another account's job, and for results that
// it does not keep. No memory is reserved for the page.
func (s *Service) ReadOwned(ctx context.Context, caller itemjob.Caller, id itemjob.ID, after int, maxWait time.Duration) (page Page, ok bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		j, owned := s.jobs[id]
		if !owned || j.dropped || !j.Permits(caller) || !j.HasOutputs(after) {
			s.mu.Unlock()
			return Page{}, false
		}
		changed := j.changed
		page = pageOf(len(j.Tasks), j.Results[min(after, len(j.Results)):], after)
		complete := j.AllStored()
		s.mu.Unlock()
		if len(page.Results) > 0 || complete || maxWait <= 0 {
			return page, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// ownerOf returns the peer address of the cached owner of a job.
func (s *Service) ownerOf(id itemjob.ID) (string, bool) {
	s.mu.Lock()
	owner, ok := s.owners[id]
	s.mu.Unlock()
	if !ok {
		return "", false
	}
	return s.aliveAddress(owner)
}

// aliveAddress returns the address of a known peer that is neither suspected nor dead.
func (s *Service) aliveAddress(id fleet.InstanceID) (string, bool) {
	m, ok := s.otherMember(id)
	return m.PeerAddress, ok && m.State != fleet.MemberSuspect && m.State != fleet.MemberDead
}

// knownAddress returns the address of a known peer in any state.
func (s *Service) knownAddress(id fleet.InstanceID) (string, bool) {
	m, ok := s.otherMember(id)
	return m.PeerAddress, ok
}

// otherMember returns the member with the id, unless it is this instance.
func (s *Service) otherMember(id fleet.InstanceID) (fleet.Member, bool) {
	for _, m := range s.Peers.Members() {
		if m.ID == id && id != s.Self.ID {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// readStored looks up the owner of a job in its record and reads from it. If there is none or it cannot be read, it reads the results in the
// store.
func (s *Service) readStored(ctx context.Context, caller itemjob.Caller, id itemjob.ID, after int, maxWait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout+maxWait)
	defer cancel()
	record, _, err := s.getPermitted(ctx, caller, id)
	if err != nil {
		return Page{}, err
	}
	if address, ok := s.cacheRecordOwner(&record); ok {
		if page, err := s.readPeer(ctx, address, caller, id, after, maxWait); err == nil {
			return page, nil
		}
	}
	loaded, err := s.memory.encode(ctx, maxPageBytes)
	if err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	defer loaded()
	results, _, err := s.loadResults(ctx, id, after)
	if err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	page := pageOf(record.Items, results, after)
	if !s.memory.reservePage(&page) {
		return Page{}, errPagesFull
	}
	return page, nil
}

// cacheRecordOwner caches the owner that a record names and returns its address, or false if the job has no owner or its owner is not a peer
// that is alive or draining.
func (s *Service) cacheRecordOwner(record *itemjob.Record) (string, bool) {
	if record.Owner == "" || record.Ended {
		return "", false
	}
	s.mu.Lock()
	s.cacheOwner(record.ID, record.Owner)
	s.mu.Unlock()
	return s.aliveAddress(record.Owner)
}

// Body returns the body of an item. The caller must call release when the body was passed on, or no longer is. Errors: ErrNotFound, also for another
// account's job; ErrNoItem, also for a job that was ended; ErrUnavailable, also if what is being sent to other readers takes up the memory; ErrBadRecord.
func (s *Service) Body(ctx context.Context, caller itemjob.Caller, id itemjob.ID, item string) (body []byte, release func(), err error) {
	if body, ok := s.BodyOwned(caller, id, item); ok {
		return body, func() {}, nil
	}
	if body, err = s.readBody(ctx, caller, id, item); err != nil {
		return nil, nil, err
	}
	var held Page
	if !s.memory.reservePageBytes(&held, int64(len(body))) {
		return nil, nil, errPagesFull
	}
	return body, held.Release, nil
}

// readBody reads the body of an item from the owner of its job, or from the store.
func (s *Service) readBody(ctx context.Context, caller itemjob.Caller, id itemjob.ID, item string) ([]byte, error) {
	if owner, ok := s.ownerOf(id); ok {
		if body, err := s.calls.body(ctx, owner, caller, id, item); err == nil {
			return body, nil
		}
	}
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "job-body"), readTimeout)
	defer cancel()
	record, _, err := s.getPermitted(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	if record.Ended {
		return nil, ErrNoItem
	}
	loaded, err := s.memory.encode(ctx, maxPageBytes)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	defer loaded()
	items, err := s.loadItems(ctx, &record)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, ErrNoItem
}

// BodyOwned is Body for a job that this instance owns or keeps in memory. It returns false for any other job, for another
// account's job, for an unknown item, and for one whose result is recorded.
func (s *Service) BodyOwned(caller itemjob.Caller, id itemjob.ID, item string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok || j.dropped || !j.Permits(caller) {
		return nil, false
	}
	task := j.Task(item)
	if task == nil || task.Phase == itemjob.Stored {
		return nil, false
	}
	return task.Item.Body, true
}
