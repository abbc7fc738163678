package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	coreclaims "eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/claims"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// headerReplayed marks a response that was recorded for an earlier request with the same idempotency key.
const headerReplayed = "X-Idempotent-Replay"

// runClaimed claims the request's idempotency key, so that the request runs at most once over all instances and resends, and records the
// response under the claim. If the key was claimed before, it returns the recorded response or the reason why there is none.
func (d *Dispatcher) runClaimed(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	claimCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	result, err := d.Claims.Acquire(claimCtx, claimRequest(r))
	if err != nil {
		return d.handleClaimError(ctx, r, w, err)
	}
	d.log(r, decisionlog.Entry{Kind: decisionlog.KindClaim, Reason: claimReasons[result.Kind]})
	switch result.Kind {
	case claims.Run:
		return d.runWithClaim(ctx, r, w, result.Claim)
	case claims.Replay:
		return replay(w, result.Answer)
	case claims.Unknown:
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "an earlier request with this Idempotency-Key may have run; it is not run again")
	case claims.Mismatch:
		return problem.NotRun(problem.CodeKeyMismatch, "Idempotency-Key was used for another request")
	default:
		return problem.MayHaveRun(problem.CodeInProgress, "a request with this Idempotency-Key is still running").WithRetryAfter(result.RetryAfter)
	}
}

var claimReasons = map[claims.Kind]string{
	claims.Run:        "claimed",
	claims.Replay:     "first answer replayed",
	claims.Unknown:    "outcome unknown",
	claims.Mismatch:   "key used for another request",
	claims.InProgress: "in progress elsewhere",
}

func claimRequest(r *request.Request) claims.Request {
	operation := r.Pool().String() + "/" + r.Path
	return claims.Request{
		Caller:         r.Caller.ID,
		IdempotencyKey: r.IdempotencyKey,
		Operation:      operation,
		Digest:         r.Fingerprint,
	}
}

// handleClaimError handles a request whose claim could not be recorded because of cause: the store did not confirm the claim, or this
// instance has too many outcomes that are running or not yet recorded, as after an outage of the store, but perhaps also while the store is
// available. An idempotent request runs without a claim, since a late response harms the caller more than a second run. Other requests are
// refused, in both cases with CodeStoreUnavailable.
func (d *Dispatcher) handleClaimError(ctx context.Context, r *request.Request, w http.ResponseWriter, cause error) error {
	if !r.Idempotent() {
		d.log(r, decisionlog.Entry{Kind: decisionlog.KindClaim, Reason: "refused: " + cause.Error()})
		return problem.NotRun(problem.CodeStoreUnavailable, "the request cannot be claimed and was not run: %v", cause).WithRetryAfter(time.Second)
	}
	d.log(r, decisionlog.Entry{Kind: decisionlog.KindClaim, Reason: "run without a claim: " + cause.Error()})
	_, err := d.execute(ctx, r, w)
	return err
}

// runWithClaim runs the request under its claim and records the outcome.
func (d *Dispatcher) runWithClaim(ctx context.Context, r *request.Request, w http.ResponseWriter, claim *claims.Claim) error {
	recorder := newRecorder(w, r.Stream)
	if !r.Idempotent() {
		// Continues after the caller disconnects, so that a resend gets the recorded response.
		ctx = context.WithoutCancel(ctx)
	}
	outcome, err := d.execute(ctx, r, recorder)
	if err := d.record(ctx, r, claim, outcome, recorder); err != nil {
		klog.ErrorS(err, "Outcome of a claimed request was not recorded", "request", r.ID)
	}
	if err != nil {
		return err
	}
	return recorder.deliver()
}

func (d *Dispatcher) record(ctx context.Context, r *request.Request, claim *claims.Claim, outcome result, recorder *recorder) error {
	switch {
	case outcome == resultCompleted:
		err := d.Claims.Complete(ctx, claim, recorder.recordedResponse())
		if errors.Is(err, coreclaims.ErrResponseTooLarge) {
			return d.Claims.Complete(ctx, claim, recorder.digestOnly())
		}
		return err
	case outcome == resultNotRun, r.Idempotent():
		return d.Claims.Release(ctx, claim)
	default:
		return d.Claims.Abandon(ctx, claim)
	}
}

func replay(w http.ResponseWriter, response coreclaims.Response) error {
	if response.BulkDigest != "" {
		return problem.MayHaveRun(problem.CodeAnswerNotKept, "the request ran once; its answer was too large to keep (SHA-256 %s)", response.BulkDigest)
	}
	w.Header().Set("Content-Type", response.ContentType)
	w.Header().Set(headerReplayed, "true")
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	return nil
}

// memberDiscoveryTime is how long a new process may take to discover all members; until then an instance missing from the table may be
// alive.
const memberDiscoveryTime = 15 * time.Second

// LivenessFrom returns a function that derives from the membership table whether a process of an instance is still running. started is
// the start time of this process. The function's second argument is fleet.ProcessOf of the claim owner's incarnation.
func LivenessFrom(members *blackboard.MemberTable, started time.Time) coreclaims.LivenessFunc {
	return func(id fleet.InstanceID, process uint64) coreclaims.Liveness {
		member, ok := members.Get(id)
		switch {
		case !ok && time.Since(started) < memberDiscoveryTime, ok && member.State == fleet.MemberSuspect:
			return coreclaims.Uncertain
		case !ok, member.State == fleet.MemberDead, fleet.ProcessOf(member.Incarnation) != process:
			return coreclaims.Dead
		default:
			return coreclaims.Alive
		}
	}
}
