package batch_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/jobs"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property test, so that every run has the same result, and discards the log messages about injected faults.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20260105")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "40") // takes about 8 s, and finds each fault that was deliberately put into the code
	}
	logs := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(logs)
	_ = logs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"})
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

const caller = fleet.CallerID("caller")

// step is one event of a schedule.
type step struct {
	After time.Duration
	Kind  string
	Node  int
	Job   int
	For   time.Duration
}

func drawSteps(rt *rapid.T) []step {
	kinds := []string{"kill", "start", "pause", "pause at write", "pause at write", "outage", "lose before", "lose after", "refuse", "resubmit", "cancel", "set ahead", "set behind"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(0, 9000).Draw(rt, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Node:  rapid.IntRange(0, 2).Draw(rt, "node"),
			Job:   rapid.IntRange(0, len(submitted)-1).Draw(rt, "job"),
			For:   time.Duration(rapid.IntRange(1, 50).Draw(rt, "for")) * time.Second,
		}
	}), 2, 12).Draw(rt, "steps")
}

// submitted are the jobs that every schedule submits.
var submitted = []struct {
	key        string
	items      int
	repeatable bool
}{
	{"tickets", 300, true},
	{"orders", 110, false},
	{"quotes", 70, false},
	{"notes", 40, true},
}

// scheduleRun is one schedule on a cluster.
type scheduleRun struct {
	*cluster
	ctx   context.Context
	acked map[string]core.JobID // by key
}

// Guards against lost or duplicate results, second runs of non-repeatable items, writes by former owners, results written after a
// cancellation, and items that expire before the end of their window, while owners are lost or paused, clocks are set, responses are lost,
// the store has outages, and jobs are resubmitted.
func TestEachItemOfAnAcceptedJobEndsOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = simulate(t.Context(), steps) })
		for _, v := range violations {
			rt.Errorf("%s", v)
		}
	})
}

func simulate(ctx context.Context, steps []step) []string {
	ctx, stop := context.WithCancel(ctx)
	r := &scheduleRun{cluster: newCluster(), ctx: ctx, acked: map[string]core.JobID{}}
	for range 3 {
		r.start(ctx)
	}
	time.Sleep(15 * time.Second)
	for i := range submitted {
		r.submit(i, r.nodes[0])
	}
	for _, s := range steps {
		time.Sleep(s.After)
		r.perform(s)
	}
	r.recover()
	r.waitForJobs()
	stop()
	for _, n := range r.nodes {
		n.link.disconnect()
		n.done.Wait()
	}
	r.checkResults()
	return r.violations
}

func (r *scheduleRun) perform(s step) {
	n := r.nodes[s.Node]
	switch s.Kind {
	case "kill":
		n.kill()
	case "start":
		if len(r.nodes) < 6 {
			r.start(r.ctx)
		}
	case "pause":
		n.link.pause(s.For)
	case "pause at write":
		n.link.setFaults(func(l *link) { l.pauseWrite = s.For })
	case "outage":
		r.store.SetDown(true)
		time.Sleep(s.For)
		r.store.SetDown(false)
	case "lose before":
		n.link.setFaults(func(l *link) { l.loseBefore++ })
	case "lose after":
		n.link.setFaults(func(l *link) { l.loseAfter++ })
	case "refuse":
		n.link.setFaults(func(l *link) { l.refuseFirst++ })
	case "set ahead":
		n.ahead.Store(int64(s.For * 1000)) // up to 14 h
	case "set behind":
		n.ahead.Store(-int64(s.For * 1000))
	case "resubmit":
		r.submit(s.Job, n)
	case "cancel":
		r.cancel(s.Job, n)
	}
}

func (l *link) setFaults(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (r *scheduleRun) submit(i int, n *node) {
	s := submitted[i]
	job, err := n.jobs.Create(r.ctx, caller, r.bulk.submission(s.key, s.items, s.repeatable))
	if err != nil {
		return
	}
	if id, known := r.acked[s.key]; known && id != job.ID {
		r.violations = append(r.violations, "a resubmission created a second job")
	}
	r.acked[s.key] = job.ID
}

func (r *scheduleRun) cancel(i int, n *node) {
	id, ok := r.acked[submitted[i].key]
	if !ok {
		return
	}
	if _, err := n.jobs.Cancel(r.ctx, caller, id); err == nil {
		r.mu.Lock()
		r.cancelled[id] = true
		r.mu.Unlock()
	}
}

// recover ends all faults and starts another instance, since all others may have been killed.
func (r *scheduleRun) recover() {
	time.Sleep(time.Minute) // longer than the longest pause, 50 s
	r.store.SetDown(false)
	for _, n := range r.nodes {
		n.link.setFaults(func(l *link) { l.pauseWrite, l.loseBefore, l.loseAfter, l.refuseFirst = 0, 0, 0, 0 })
	}
	r.start(r.ctx)
}

// waitForJobs waits until every acknowledged job has ended.
func (r *scheduleRun) waitForJobs() {
	const longest = 20 * time.Minute
	for waited := time.Duration(0); waited < longest; waited += 10 * time.Second {
		time.Sleep(10 * time.Second)
		if r.openJobs() == 0 {
			return
		}
	}
	r.violations = append(r.violations, fmt.Sprintf("%d acknowledged jobs are still open", r.openJobs()))
}

func (r *scheduleRun) openJobs() int {
	open := 0
	for _, id := range r.acked {
		job, err := jobs.New(r.store, r.bulk).Get(r.ctx, caller, id)
		if errors.Is(err, jobs.ErrNotFound) {
			r.violations = append(r.violations, "an acknowledged job is lost")
			continue
		}
		if err != nil || job.State == core.JobAccepted {
			open++
		}
	}
	return open
}
