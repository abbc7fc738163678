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
	// ErrNotFound means that the job does not exist, or belongs to another account than the caller's.
	ErrNotFound = eris.New("job or item does not exist")
	// ErrNoItem is an ErrNotFound about a job that the caller may read: it has no such item, or was ended.
	ErrNoItem = fmt.Errorf("%w: the job has no such item", ErrNotFound)
	// ErrUnavailable means that the store is unavailable, or that other jobs take up the memory. A submission had no effect; see End for the end of a job.
	ErrUnavailable = eris.New("job cannot be looked up or changed now")
	// ErrOutcomeUnknown means that the job may have been accepted.
	ErrOutcomeUnknown = eris.New("job may have been accepted")
	// ErrTokenLimit means that the job would exceed the token limit of its route.
	ErrTokenLimit = eris.New("tokens of the job do not fit under the limit of its route")
	// ErrInvalid means that the job cannot be stored, for example because an item is too large.
	ErrInvalid = eris.New("job is invalid")
	// ErrRefused means that the submission was not recorded because the id is that of another account's job.
	ErrRefused = eris.New("job cannot be submitted with this id")

	errDropped = eris.New("job is no longer owned")
)

// Submission is a job as submitted by its client.
type Submission struct {
	itemjob.Caller
	ID      itemjob.ID
	Host    string
	Route   *routetable.Route
	Version int64 // of the routing table that has the route
	Items   []itemjob.Item
	Arrived time.Time
}

const (
	// submitTimeout bounds all attempts to record a job. Clients wait a few seconds and then retry at another instance.
	submitTimeout = 2 * time.Second
	// writeRetryDelay is the delay after an attempt to write a record whose outcome is unknown.
	writeRetryDelay = 50 * time.Millisecond
)

// Submit records the job. It is idempotent: repeated submissions of a job at any instance are accepted once. An instance that cannot record the job,
// or should not own it, forwards it to a peer. nil means that the job is accepted; any other error is a *SubmissionError. After ErrTokenLimit,
// ErrUnavailable and ErrInvalid, no part of the job runs unless another submission of it is accepted; after ErrOutcomeUnknown it may run. After
// ErrRefused this submission does not run, and a job of another account with the id may.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	attempts := s.submit(ctx, sub)
	outcome := combined(attempts)
	s.reportSubmission(sub, outcome, attempts)
	if outcome == Accepted {
		return nil
	}
	return &SubmissionError{Outcome: outcome, causes: attempts}
}

// submit returns the attempts to record a submitted job, at least one.
func (s *Service) submit(ctx context.Context, sub Submission) []attempt {
	if j, ok := s.ownedJob(sub.ID); ok {
		return []attempt{repeated(&j.Record, sub.Caller)}
	}
	// The write is not cancelled when the client disconnects, since the store may already have recorded the job.
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.WithoutCancel(ctx), "job-submit"), submitTimeout)
	defer cancel()
	record := s.newRecord(sub)
	if limit, waiting := sub.Route.MaxWaitingTokens, s.totalWaitingTokens(record.LimitKey()); !itemjob.Fits(limit, waiting, record.Tokens) {
		return []attempt{s.rejectUnlessAccepted(ctx, sub, waiting)}
	}
	address, ok := s.betterOwner(&record)
	if !ok {
		return s.acceptOrForward(ctx, record, sub)
	}
	forwarded := s.forwardToBetterOwner(ctx, address, record, sub)
	if forwarded.outcome == Unavailable || forwarded.outcome == MayBeAccepted {
		return append([]attempt{forwarded}, s.acceptOrForward(ctx, record, sub)...)
	}
	return []attempt{forwarded}
}

// repeated returns the attempt of a submission whose id is that of a recorded job.
func repeated(found *itemjob.Record, caller itemjob.Caller) attempt {
	if !found.Permits(caller) {
		return attempt{instance: thisInstance, outcome: Refused, cause: errOtherAccount}
	}
	return attempt{instance: thisInstance, outcome: Accepted}
}

// errOtherAccount is the cause of Refused. It goes to the log and to peers, not to clients.
var errOtherAccount = eris.New("a job with this id belongs to another account")

// forwardTimeout bounds a call that forwards a job to a less loaded peer. It is shorter than submitTimeout, to leave time for an attempt of this
// instance.
const forwardTimeout = 500 * time.Millisecond

// forwardToBetterOwner forwards a job to the less loaded peer at the address.
func (s *Service) forwardToBetterOwner(ctx context.Context, address string, record itemjob.Record, sub Submission) attempt {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return s.forward(ctx, address, record, sub, "the peer is less loaded")
}

// forward asks a peer to record a job as its owner.
func (s *Service) forward(ctx context.Context, address string, record itemjob.Record, sub Submission, reason string) attempt {
	klog.InfoS("Job is forwarded to a peer", "job", record.ID, "peer", address, "reason", reason)
	record.KnownAge = s.Now().Sub(record.Submitted)
	started := time.Now()
	outcome, cause := s.calls.submit(ctx, address, record, sub, s.Board.Departing())
	return attempt{instance: address, outcome: outcome, cause: cause, took: time.Since(started)}
}

// acceptOrForward records a job with this instance as its owner, or forwards it if this instance is draining or does not reach the store. It
// returns at least one attempt.
func (s *Service) acceptOrForward(ctx context.Context, record itemjob.Record, sub Submission) []attempt {
	var attempts []attempt
	if !s.isDraining() {
		started := time.Now()
		outcome, cause := s.accept(ctx, record, sub.Caller, sub.Items)
		attempts = append(attempts, attempt{instance: thisInstance, outcome: outcome, cause: cause, took: time.Since(started)})
		if outcome != Unavailable {
			return attempts
		}
	}
	address, ok := s.storeReachingPeer(record.Version)
	if !ok {
		return append(attempts, attempt{instance: "a peer", outcome: Unavailable, cause: errNoInstance})
	}
	return append(attempts, s.forward(ctx, address, record, sub, "this instance does not reach the store or is draining"))
}

// betterOwner returns the address of the peer that should own a job, or false if this instance should. Only in a fleet with a working set can that
// be a peer: a less loaded one of the same region. A peer that lacks a version which has just come into force reads it at once when it gets the job;
// one that lacks an older version is passed over.
func (s *Service) betterOwner(record *itemjob.Record) (string, bool) {
	peers := s.Peers.Candidates(min(record.Version, s.Routes.Settled()))
	if len(peers) == 0 || s.isDraining() {
		return "", false
	}
	self := itemjob.Candidate{Member: s.Self, Waiting: math.MaxInt64 / 2}
	if s.Peers.Serves() {
		self.Waiting = 0
		for _, n := range s.waitingTokens() {
			self.Waiting += n
		}
	}
	best := itemjob.ChooseOwner(self, peers, record.Tokens)
	return best.PeerAddress, best.ID != s.Self.ID
}

// accept records a job with this instance as its owner. The times of the record must be by this instance's clock. The error is the cause of an
// outcome other than Accepted.
func (s *Service) accept(ctx context.Context, record itemjob.Record, caller itemjob.Caller, items []itemjob.Item) (Outcome, error) {
	parts, err := encodeParts(items)
	if err != nil {
		return Invalid, err
	}
	release, ok := s.reserveItems(items)
	if !ok {
		return Unavailable, eris.Wrapf(errItemsFull, "%d of %d bytes", s.memory.items.Used(), s.memory.items.Limit())
	}
	defer release()
	defer s.beginAcquisition(record.ID)()
	record.Parts = len(parts)
	record.Owner, record.Process = s.Self.ID, s.Self.Incarnation
	txn, err := createTxn(record, parts)
	if err != nil {
		return Invalid, err
	}
	return s.create(ctx, record, caller, items, txn)
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// storeReachingPeer returns the address of a random peer that reaches the store, if possible one that has a version of the routing table. It
// returns false if none reaches the store.
func (s *Service) storeReachingPeer(version int64) (string, bool) {
	reaching := s.availablePeers(version)
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
		Due:         sub.Arrived.Add(sub.Route.JobObjective),
		GiveUp:      sub.Arrived.Add(sub.Route.JobRetention),
		MaxAttempts: sub.Route.MaxAttempts,
		Version:     sub.Version,
		AcceptedBy:  s.Self.ID,
		Account:     sub.Account,
	}
	for _, item := range sub.Items {
		r.Tokens += item.Tokens
	}
	return r
}

// totalWaitingTokens returns the tokens of the unfinished items that count for a limit, an itemjob.LimitKey, summed over all instances and the open
// jobs without an alive owner.
func (s *Service) totalWaitingTokens(limit string) int64 {
	own := s.waitingTokens()[limit]
	s.mu.Lock()
	orphaned := s.orphaned[limit]
	s.mu.Unlock()
	return own + orphaned + s.Peers.Waiting(limit)
}

// rejectUnlessAccepted rejects a job that exceeds the token limit, unless an earlier submission of it was accepted.
func (s *Service) rejectUnlessAccepted(ctx context.Context, sub Submission, waiting int64) attempt {
	started := time.Now()
	found, _, err := s.getRecord(ctx, sub.ID)
	result := attempt{instance: thisInstance}
	switch {
	case err == nil:
		result = repeated(&found, sub.Caller)
	case errors.Is(err, ErrNotFound):
		result.outcome = OverTokenLimit
		result.cause = fmt.Errorf("%d tokens wait on the route, its limit is %d", waiting, sub.Route.MaxWaitingTokens)
	default:
		result.outcome, result.cause = Unavailable, err
	}
	result.took = time.Since(started)
	return result
}

// createTxn returns the transaction that writes all keys of a new job, or reads the record if there is one.
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

// create repeats the transaction until its outcome is known or ctx ends. The error is the cause of an outcome other than Accepted.
func (s *Service) create(ctx context.Context, record itemjob.Record, caller itemjob.Caller, items []itemjob.Item, txn kv.Txn) (Outcome, error) {
	mayBeRecorded := false
	for {
		asOf := s.Now()
		result, err := s.Store.Txn(ctx, txn)
		switch {
		case err == nil && result.Succeeded:
			s.accepted(record, items, result.Revision, asOf)
			return Accepted, nil
		case err == nil:
			return s.resolveExisting(record, caller, items, result, asOf)
		case !hadNoEffect(err):
			mayBeRecorded = true
		case !mayBeRecorded:
			klog.ErrorS(err, "Job cannot be recorded", "job", record.ID)
			return Unavailable, err
		}
		if !wait.For(ctx, writeRetryDelay) {
			s.setOwnershipUncertain()
			klog.ErrorS(err, "Job may have been accepted", "job", record.ID)
			return MayBeAccepted, err
		}
	}
}

// hadNoEffect reports whether a write of the store that failed certainly had no effect and will have none.
func hadNoEffect(err error) bool {
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		return false
	}
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrValueTooLarge) || errors.Is(err, kv.ErrLeaseGone)
}

func (s *Service) accepted(record itemjob.Record, items []itemjob.Item, revision kv.Revision, asOf time.Time) {
	klog.InfoS("Job accepted", "job", record.ID, "route", record.Route, "items", record.Items, "tokens", record.Tokens,
		"version", record.Version, "accepted_by", record.AcceptedBy,
		"due_ms", record.Due.Sub(s.Now()).Milliseconds(), "took_ms", s.Now().Sub(record.Submitted).Milliseconds())
	by := originSubmitted
	if record.AcceptedBy != s.Self.ID {
		by = originForwarded
	}
	s.addOwned(itemjob.NewJob(record, items, nil, record.Submitted), by, revision, asOf)
}

// resolveExisting handles a job that already has a record: from an earlier submission, or from an attempt of this one whose response was lost. The
// error is the cause of an outcome other than Accepted.
func (s *Service) resolveExisting(record itemjob.Record, caller itemjob.Caller, items []itemjob.Item, result kv.TxnResult, asOf time.Time) (Outcome, error) {
	var found itemjob.Record
	if len(result.Gets) == 0 {
		return MayBeAccepted, eris.Errorf("the store has a record of job %s and did not return it", record.ID)
	}
	if err := decode(result.Gets[0].Value, &found); err != nil {
		return MayBeAccepted, fmt.Errorf("job %s: %w", record.ID, err)
	}
	if found.Token == record.Token && found.Owner == record.Owner && found.Process == record.Process {
		s.accepted(record, items, result.Gets[0].ModRevision, asOf)
		return Accepted, nil
	}
	earlier := repeated(&found, caller)
	klog.InfoS("Job was already accepted", "job", record.ID, "owner", found.Owner, "ended", found.Ended, "outcome", earlier.outcome.String())
	return earlier.outcome, earlier.cause
}
