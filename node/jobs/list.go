package jobs

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// indexTimeLayout is the layout of a job's creation time in its index entries. The times sort as text.
const indexTimeLayout = "2006-01-02T15:04:05.000000000Z"

// Page is a range of a list of jobs, newest first.
type Page struct {
	Jobs []batch.Job // Counts are set for finished jobs only
	More bool        // the list has jobs after the last one
}

// indexEntry is the entry of a job in an index: that of its caller's jobs, or that of open jobs.
type indexEntry struct {
	id      batch.JobID
	created string
}

// List returns a page of a caller's jobs that follow the job after, or start with the newest one if after is empty. limit is adjusted
// to the range from 1 to MaxPage. Errors: ErrNotFound if after is not in the list, ErrUnavailable.
func (s *Service) List(ctx context.Context, caller fleet.CallerID, after batch.JobID, limit int) (Page, error) {
	return s.page(ctx, batch.CallersPrefix+batch.CallerDigest(caller)+"/", after, limit)
}

// ListOpen is List for the open jobs of all callers, for operators.
func (s *Service) ListOpen(ctx context.Context, after batch.JobID, limit int) (Page, error) {
	return s.page(ctx, batch.OpenPrefix, after, limit)
}

// page returns a page of the index under a prefix; see List.
func (s *Service) page(ctx context.Context, prefix string, after batch.JobID, limit int) (Page, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	entries, err := s.indexEntries(ctx, prefix)
	if err != nil {
		return Page{}, err
	}
	if after != "" {
		i := slices.IndexFunc(entries, func(e indexEntry) bool { return e.id == after })
		if i < 0 {
			return Page{}, eris.Wrapf(ErrNotFound, "job %q to list behind", after)
		}
		entries = entries[i+1:]
	}
	limit = min(max(limit, 1), MaxPage)
	page := Page{More: len(entries) > limit}
	page.Jobs, err = s.records(ctx, entries[:min(limit, len(entries))])
	return page, err
}

// indexEntries returns the entries of the index under a prefix, newest job first.
func (s *Service) indexEntries(ctx context.Context, prefix string) ([]indexEntry, error) {
	listing, err := s.store.List(ctx, prefix)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "list jobs: %v", err)
	}
	entries := make([]indexEntry, 0, len(listing.Items))
	for _, item := range listing.Items {
		id := item.Key[strings.LastIndexByte(item.Key, '/')+1:]
		entries = append(entries, indexEntry{id: batch.JobID(id), created: string(item.Value)})
	}
	slices.SortFunc(entries, func(a, b indexEntry) int {
		return cmp.Or(cmp.Compare(b.created, a.created), cmp.Compare(a.id, b.id))
	})
	return entries, nil
}

// records reads the jobs of index entries in one call. Jobs that were removed in the meantime are left out.
func (s *Service) records(ctx context.Context, entries []indexEntry) ([]batch.Job, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	ops := make([]kv.Op, len(entries))
	for i, e := range entries {
		ops[i] = kv.Op{Kind: kv.OpGet, Key: e.id.Key()}
	}
	result, err := s.store.Txn(ctx, kv.Txn{Then: ops})
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "read jobs: %v", err)
	}
	jobs := make([]batch.Job, 0, len(entries))
	for _, found := range result.Gets {
		if found.CreateRevision == 0 {
			continue
		}
		job, err := batch.DecodeJob(found.Value)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", found.Key, err)
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}
