package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (s *gatedStore) Get(ctx context.Context, key string) (kv.KeyValue, error) {
	if err := s.process.gate(); err != nil {
		return kv.KeyValue{}, err
	}
	found, err := s.memStore.Get(ctx, key)
	if gone := s.process.gate(); gone != nil {
		return kv.KeyValue{}, gone
	}
	return found, err
}

func (s *gatedStore) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	if err := s.process.gate(); err != nil {
		return kv.TxnResult{}, err
	}
	result, err := s.memStore.Txn(ctx, t)
	if gone := s.process.gate(); gone != nil {
		return kv.TxnResult{}, gone
	}
	return result, err
}

// runSchedule runs a schedule, then lets the store recover and resends every key to every live instance. It returns the
// violations found.
func runSchedule(t *testing.T, s schedule, withoutClaims bool) []string {
	var violations []string
	synctest.Test(t, func(*testing.T) {
		w := &simulation{
			schedule:      s,
			withoutClaims: withoutClaims,
			store:         newMemStore(s.Seed),
			processes:     make([]*process, s.Instances),
			executions:    map[int]int{},
			responses:     map[int]string{},

			reportedUnknown: map[int]bool{},
		}
		w.store.outages, w.store.faults = s.Outages, s.Faults
		for i := range s.Instances {
			w.start(i)
		}
		var group sync.WaitGroup
		for _, sent := range s.Sends {
			group.Go(func() { w.serve(sent) })
		}
		for _, e := range s.Events {
			group.Go(func() { w.inject(e) })
		}
		group.Wait()
		w.store.endFaults()
		time.Sleep(time.Minute)
		w.checkRecovered()
		violations = w.violations
		for _, p := range w.processes {
			p.kill()
		}
		time.Sleep(time.Minute)
	})
	return violations
}

// checkRecovered checks, after the faults have ended, that no outcome is pending and that a resend to any live instance
// gets the first response if there was one, and is never run if the key ran.
func (w *simulation) checkRecovered() {
	for i, p := range w.processes {
		if !p.stoppedAt.IsZero() {
			continue
		}
		w.check(p.claimer.Pending() == 0, "instance %d has %d pending outcomes", i, p.claimer.Pending())
		for key := range 2 {
			w.resend(p, key)
		}
	}
}

func (w *simulation) resend(p *process, key int) {
	for body := range 2 {
		request := Request{Caller: "caller", IdempotencyKey: fmt.Sprint(key), Digest: fmt.Sprint("body", body)}
		result, err := p.claimer.Acquire(context.Background(), request)
		w.check(err == nil, "key %d was refused although the store is healthy: %v", key, err)
		switch result.Kind {
		case Run:
			w.check(w.executions[key] == 0, "key %d was run again after it had run", key)
			w.check(!w.reportedUnknown[key], "key %d was run after its outcome had been reported as unknown", key)
			_ = p.claimer.Release(context.Background(), result.Claim)
		case Replay:
			w.checkResponse(key, string(result.Answer.Body))
		case InProgress:
			w.check(false, "key %d is still in progress after the faults have ended", key)
		case Unknown:
			truthful := w.executions[key] > 0 || len(w.schedule.Events) > 0
			w.check(truthful, "outcome of key %d is reported as unknown although every attempt was refused without being run", key)
		}
	}
}

// Guards against requests that run twice, resends that get another response than the first, and outcomes that are lost.
// The schedules combine lost and delayed store responses, outages, lost, paused and replaced instances, and resends to
// any instance.
func TestKeyRunsAtMostOnceAndResendsGetTheFirstAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if violations := runSchedule(t, s, false); len(violations) > 0 {
			rt.Fatalf("%v\nschedule: %+v", violations, s)
		}
	})
}

// Guards against checks that never fail: without claims, the same schedules must show keys that run twice.
func TestSchedulesWithoutClaimsRunKeysTwice(t *testing.T) {
	gen := rapid.Custom(drawSchedule)
	failing := 0
	for seed := range 50 {
		if len(runSchedule(t, gen.Example(seed), true)) > 0 {
			failing++
		}
	}
	require.Greater(t, failing, 25) // without claims, all 50 schedules fail
}
