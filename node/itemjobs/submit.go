package itemjobs

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/node/internal/wait"
)

// Errors of the service.
var (
	// ErrNotFound means that no such job, or no such item of it, exists.
	ErrNotFound = eris.New("job does not exist")
	// ErrUnavailable means that the call had no effect, since the store does not answer.
	ErrUnavailable = eris.New("job cannot be looked up or changed now")
	// ErrOutcomeUnknown means that the job may have been accepted.
	ErrOutcomeUnknown = eris.New("job may have been accepted")
	// ErrNoRoom means that the tokens of the job do not fit under the limit of its route.
	ErrNoRoom = eris.New("tokens of the job do not fit under the limit of its route")
	// ErrInvalid means that the job cannot be kept as it is.
	ErrInvalid = eris.New("job is invalid")

	errDropped = eris.New("job is no longer owned")
)

// Submission is a job as its client sent it.
type Submission struct {
	ID      itemjob.ID
	Host    string
	Route   *routetable.Route
	Items   []itemjob.Item
	Arrived time.Time
}

const (
	// submitTime bounds the attempts to record a job. Clients wait a few seconds and then come again at another instance.
	submitTime = 2 * time.Second
	// submitPause is the pause after an attempt whose outcome is not known.
	submitPause = 50 * time.Millisecond
)

// Submit records the job, once over all repeats at any instance. nil means that the job is accepted. Errors: ErrNoRoom, ErrUnavailable
// and ErrInvalid, after which no part of it runs unless another submission is accepted; ErrOutcomeUnknown. An instance that cannot record
// the job, or should not own it, passes it on to one that can.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	if _, ok := s.owned(sub.ID); ok {
		return nil
	}
	// A client that leaves does not undo what the store may have recorded.
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.WithoutCancel(ctx), "job-submit"), submitTime)
	defer cancel()
	record := s.newRecord(sub)
	if limit, waiting := sub.Route.TokenLimit, s.allWaiting(sub.Route.Name); !itemjob.Fits(limit, waiting, record.Tokens) {
		return s.withoutRoom(ctx, sub, waiting)
	}
	unknown := false
	if address, ok := s.betterOwner(record.Tokens); ok {
		err := s.passToBetter(ctx, address, record, sub.Items)
		if err == nil || errors.Is(err, ErrNoRoom) || errors.Is(err, ErrInvalid) {
			return err
		}
		klog.InfoS("Job was not taken by a peer", "job", sub.ID, "peer", address, "cause", err.Error())
		unknown = errors.Is(err, ErrOutcomeUnknown)
	}
	err := s.acceptOrPass(ctx, record, sub.Items)
	if unknown && errors.Is(err, ErrUnavailable) {
		return eris.Wrap(ErrOutcomeUnknown, err.Error()) // the first peer may have recorded it
	}
	return err
}

// passTime bounds a call that passes a job on to a peer with less to do. It leaves time for an attempt of this instance.
const passTime = 500 * time.Millisecond

func (s *Service) passToBetter(ctx context.Context, address string, record itemjob.Record, items []itemjob.Item) error {
	ctx, cancel := context.WithTimeout(ctx, passTime)
	defer cancel()
	return s.passOn(ctx, address, record, items, "it has less to do")
}

// passOn asks a peer to record a job. Errors are those of Submit.
func (s *Service) passOn(ctx context.Context, address string, record itemjob.Record, items []itemjob.Item, reason string) error {
	klog.InfoS("Job is passed on", "job", record.ID, "peer", address, "reason", reason)
	return s.calls.submit(ctx, address, record, items)
}

// acceptOrPass records a job, or passes it on if this instance cannot or drains. Errors are those of Submit.
func (s *Service) acceptOrPass(ctx context.Context, record itemjob.Record, items []itemjob.Item) error {
	if !s.isDraining() {
		err := s.Accept(ctx, record, items)
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
	}
	address, ok := s.reachingPeer()
	if !ok {
		return eris.Wrap(ErrUnavailable, "no instance reaches the store")
	}
	return s.passOn(ctx, address, record, items, "the store is out of reach, or this instance drains")
}

// betterOwner returns the address of the peer that is to own a job of some tokens, if it is not this instance: in a fleet with a working set,
// a member of the own region that has less to do.
func (s *Service) betterOwner(tokens int64) (string, bool) {
	peers := s.Peers.Candidates()
	if len(peers) == 0 || s.isDraining() {
		return "", false
	}
	self := itemjob.Candidate{Member: s.Self, Waiting: math.MaxInt64 / 2}
	if s.Peers.Serves() {
		self.Waiting = 0
		for _, n := range s.waiting() {
			self.Waiting += n
		}
	}
	best := itemjob.Owner(self, peers, tokens)
	return best.PeerAddress, best.ID != s.Self.ID
}

// Accept records a job with this instance as its owner. Errors are those of Submit.
func (s *Service) Accept(ctx context.Context, record itemjob.Record, items []itemjob.Item) error {
	parts, err := encodeParts(items)
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	defer s.beginTakeUp(record.ID)()
	record.Parts = len(parts)
	record.Owner, record.Process = s.Self.ID, s.Self.Incarnation
	txn, err := createTxn(record, parts)
	if err != nil {
		return err
	}
	return s.create(ctx, record, items, txn)
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// reachingPeer returns a peer that reaches the store.
func (s *Service) reachingPeer() (string, bool) {
	reaching := s.Peers.Reaching()
	if len(reaching) == 0 {
		return "", false
	}
	return reaching[rand.IntN(len(reaching))].PeerAddress, true
}

func (s *Service) newRecord(sub Submission) itemjob.Record {
	r := itemjob.Record{
		ID:          sub.ID,
		Token:       ulid.Make().String(),
		Route:       sub.Route.Name,
		Host:        sub.Host,
		Items:       len(sub.Items),
		Submitted:   sub.Arrived,
		Due:         sub.Arrived.Add(sub.Route.JobDue),
		GiveUp:      sub.Arrived.Add(sub.Route.JobRetain),
		MaxAttempts: sub.Route.MaxAttempts,
	}
	for _, item := range sub.Items {
		r.Tokens += item.Tokens
	}
	return r
}

// allWaiting returns the tokens that wait on a route over all instances.
func (s *Service) allWaiting(route string) int64 {
	own := s.waiting()[route]
	s.mu.Lock()
	orphaned := s.orphaned[route]
	s.mu.Unlock()
	return own + orphaned + s.Peers.Waiting(route)
}

// withoutRoom refuses a job that does not fit, unless it was accepted before.
func (s *Service) withoutRoom(ctx context.Context, sub Submission, waiting int64) error {
	_, err := s.Store.Get(ctx, recordKey(sub.ID))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kv.ErrNotFound):
		klog.InfoS("Job refused", "job", sub.ID, "route", sub.Route.Name, "waiting_tokens", waiting, "limit_tokens", sub.Route.TokenLimit)
		return ErrNoRoom
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// createTxn writes all keys of a new job at once.
func createTxn(record itemjob.Record, parts [][]byte) (kv.Txn, error) {
	mark := markOf(&record)
	puts, err := putJSON(recordKey(record.ID), record, openKey(record.ID), mark)
	if err != nil {
		return kv.Txn{}, err
	}
	for i, part := range parts {
		puts = append(puts, kv.Op{Kind: kv.OpPut, Key: partKey(record.ID, i), Value: part})
	}
	return kv.Txn{
		Compares: []kv.Compare{{Key: recordKey(record.ID), Target: kv.CompareCreateRevision}},
		Then:     puts,
		Else:     []kv.Op{{Kind: kv.OpGet, Key: recordKey(record.ID)}},
	}, nil
}

// create runs the transaction until its outcome is known or the time is up.
func (s *Service) create(ctx context.Context, record itemjob.Record, items []itemjob.Item, txn kv.Txn) error {
	unknown := false
	for {
		asOf := time.Now()
		result, err := s.Store.Txn(ctx, txn)
		switch {
		case err == nil && result.Succeeded:
			s.accepted(record, items, result.Revision, asOf)
			return nil
		case err == nil:
			return s.exists(record, items, result, asOf)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			unknown = true
		case !unknown:
			klog.ErrorS(err, "Job cannot be recorded", "job", record.ID)
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		if !wait.For(ctx, submitPause) {
			s.setUncertain()
			klog.ErrorS(err, "Job may have been accepted", "job", record.ID)
			return eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func (s *Service) accepted(record itemjob.Record, items []itemjob.Item, revision kv.Revision, asOf time.Time) {
	klog.InfoS("Job accepted", "job", record.ID, "route", record.Route, "items", record.Items, "tokens", record.Tokens,
		"due_ms", time.Until(record.Due).Milliseconds(), "took_ms", time.Since(record.Submitted).Milliseconds())
	s.own(itemjob.NewJob(record, items, nil), revision, asOf)
}

// exists handles a job whose record is there: from an earlier submission, or from an attempt of this one whose answer was lost.
func (s *Service) exists(record itemjob.Record, items []itemjob.Item, result kv.TxnResult, asOf time.Time) error {
	var found itemjob.Record
	if len(result.Gets) == 0 {
		return eris.Wrap(ErrUnavailable, "the store did not show the job")
	}
	if err := decode(result.Gets[0].Value, &found); err != nil {
		return fmt.Errorf("job %s: %w", record.ID, err)
	}
	if found.Token == record.Token && found.Owner == record.Owner && found.Process == record.Process {
		s.accepted(record, items, result.Gets[0].ModRevision, asOf)
		return nil
	}
	klog.InfoS("Job was accepted before", "job", record.ID, "owner", found.Owner, "ended", found.Ended)
	return nil
}
