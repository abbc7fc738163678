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

// runSchedule runs a schedule, then lets the store recover and asks for every key once more.
func runSchedule(t *testing.T, s schedule, bypass bool) []string {
	var violations []string
	synctest.Test(t, func(*testing.T) {
		w := &world{
			schedule:   s,
			bypass:     bypass,
			store:      newMemStore(s.Seed),
			processes:  make([]*process, s.Instances),
			executions: map[int]int{},
			answers:    map[int]string{},

			toldUnknown: map[int]bool{},
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
			group.Go(func() { w.hit(e) })
		}
		group.Wait()
		w.store.heal()
		time.Sleep(time.Minute)
		w.settle()
		violations = w.violations
		for _, p := range w.processes {
			p.kill()
		}
		time.Sleep(time.Minute)
	})
	return violations
}

// settle checks, with everything healthy again, that no outcome is held back and that a resend to any live instance
// gets the first answer if there was one, and is never run if the key ran.
func (w *world) settle() {
	for i, p := range w.processes {
		if !p.silent.IsZero() {
			continue
		}
		w.check(p.claimer.Pending() == 0, "instance %d holds %d outcomes", i, p.claimer.Pending())
		for key := range 2 {
			w.resend(p, key)
		}
	}
}

func (w *world) resend(p *process, key int) {
	for body := range 2 {
		request := Request{Caller: "caller", IdempotencyKey: fmt.Sprint(key), Digest: fmt.Sprint("body", body)}
		result, err := p.claimer.Acquire(context.Background(), request)
		w.check(err == nil, "key %d is refused by a healthy store: %v", key, err)
		switch result.Kind {
		case Run:
			w.check(w.executions[key] == 0, "key %d is run again after it ran", key)
			w.check(!w.toldUnknown[key], "key %d is run after its outcome was told to be unknown", key)
			_ = p.claimer.Release(context.Background(), result.Claim)
		case Replay:
			w.handOut(key, string(result.Answer.Body))
		case InProgress:
			w.check(false, "key %d stays in progress", key)
		case Unknown:
			truthful := w.executions[key] > 0 || len(w.schedule.Events) > 0
			w.check(truthful, "key %d is unknown although every attempt was refused as not run", key)
		}
	}
}

// Guards against every way to run a request twice, to answer a resend with something else than the first answer, and to
// lose an outcome: lost and delayed store responses, outages, lost, paused and replaced instances, and resends anywhere.
func TestKeyRunsAtMostOnceAndResendsGetTheFirstAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if violations := runSchedule(t, s, false); len(violations) > 0 {
			rt.Fatalf("%v\nschedule: %+v", violations, s)
		}
	})
}

// Guards against a harness that notices nothing: the same schedules without claims must show second runs.
func TestSchedulesWithoutClaimsRunKeysTwice(t *testing.T) {
	gen := rapid.Custom(drawSchedule)
	failing := 0
	for seed := range 50 {
		if len(runSchedule(t, gen.Example(seed), true)) > 0 {
			failing++
		}
	}
	require.Greater(t, failing, 25) // 50 when written
}
