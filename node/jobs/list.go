package jobs

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// markTime is the form of a job's creation time in its marks; it sorts as text.
const markTime = "2006-01-02T15:04:05.000000000Z"

// Page is a part of a list of jobs, newest first.
type Page struct {
	Jobs []batch.Job // counts are set for finished jobs only
	More bool        // further jobs follow the last one
}

// mark is one job of an index.
type mark struct {
	id      batch.JobID
	created string
}

// List returns up to limit of a caller's jobs behind the job after (empty: from the newest).
func (s *Service) List(ctx context.Context, caller fleet.CallerID, after batch.JobID, limit int) (Page, error) {
	return s.page(ctx, batch.CallersPrefix+batch.CallerDigest(caller)+"/", after, limit)
}

// ListOpen returns up to limit of the fleet's open jobs behind the job after, for operators.
func (s *Service) ListOpen(ctx context.Context, after batch.JobID, limit int) (Page, error) {
	return s.page(ctx, batch.OpenPrefix, after, limit)
}

func (s *Service) page(ctx context.Context, prefix string, after batch.JobID, limit int) (Page, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	marks, err := s.marks(ctx, prefix)
	if err != nil {
		return Page{}, err
	}
	if after != "" {
		i := slices.IndexFunc(marks, func(m mark) bool { return m.id == after })
		if i < 0 {
			return Page{}, eris.Wrapf(ErrNotFound, "job %q to list behind", after)
		}
		marks = marks[i+1:]
	}
	limit = min(max(limit, 1), MaxPage)
	page := Page{More: len(marks) > limit}
	page.Jobs, err = s.records(ctx, marks[:min(limit, len(marks))])
	return page, err
}

// marks reads an index, newest job first.
func (s *Service) marks(ctx context.Context, prefix string) ([]mark, error) {
	listing, err := s.store.List(ctx, prefix)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "list jobs: %v", err)
	}
	marks := make([]mark, 0, len(listing.Items))
	for _, item := range listing.Items {
		id := item.Key[strings.LastIndexByte(item.Key, '/')+1:]
		marks = append(marks, mark{id: batch.JobID(id), created: string(item.Value)})
	}
	slices.SortFunc(marks, func(a, b mark) int {
		return cmp.Or(cmp.Compare(b.created, a.created), cmp.Compare(a.id, b.id))
	})
	return marks, nil
}

// records reads the records of the marks in one call. A job that was removed meanwhile is left out.
func (s *Service) records(ctx context.Context, marks []mark) ([]batch.Job, error) {
	if len(marks) == 0 {
		return nil, nil
	}
	ops := make([]kv.Op, len(marks))
	for i, m := range marks {
		ops[i] = kv.Op{Kind: kv.OpGet, Key: m.id.Key()}
	}
	result, err := s.store.Txn(ctx, kv.Txn{Then: ops})
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "read jobs: %v", err)
	}
	jobs := make([]batch.Job, 0, len(marks))
	for _, found := range result.Gets {
		if found.CreateRevision == 0 {
			continue
		}
		job, err := batch.DecodeJob(found.Value)
		if err != nil {
			return nil, eris.Wrap(err, found.Key)
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}
