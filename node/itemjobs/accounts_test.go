package itemjobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/itemjobs"
)

var (
	acme    = itemjob.Caller{Account: "acme"}
	blue    = itemjob.Caller{Account: "blue"}
	nobody  = itemjob.Caller{}
	anybody = itemjob.Caller{Unrestricted: true}
)

// submissionBy is submission by a caller.
func submissionBy(caller itemjob.Caller, id itemjob.ID, items ...string) itemjobs.Submission {
	sub := submission(id, items...)
	sub.Caller = caller
	return sub
}

// requireHidden checks that the calls of a caller about job j get the same answers as those about a job that does not exist.
func requireHidden(t *testing.T, n *node, caller itemjob.Caller) {
	t.Helper()
	answers := func(id itemjob.ID) []string {
		started := time.Now()
		_, read := n.service.Read(t.Context(), caller, id, 0, 5*time.Second)
		_, _, body := n.service.Body(t.Context(), caller, id, "a")
		_, _, noItem := n.service.Body(t.Context(), caller, id, "none")
		end := n.service.End(t.Context(), caller, id)
		texts := []string{time.Since(started).Truncate(100 * time.Millisecond).String()} // a call to a peer takes up no virtual time
		for _, err := range []error{read, body, noItem, end} {
			require.Error(t, err)
			texts = append(texts, err.Error())
		}
		return texts
	}
	require.Equal(t, answers("none"), answers("j"), "at %s", n.id)
}

// requireServed checks that the caller can read job j.
func requireServed(t *testing.T, n *node, caller itemjob.Caller) {
	t.Helper()
	page, err := n.service.Read(t.Context(), caller, "j", 0, 0)
	require.NoError(t, err, "at %s", n.id)
	require.Equal(t, 2, page.Total)
	page.Release()
}

// Guards against a job that another account can tell from one that does not exist: at its owner, through a call to the owner, from the store, without the
// store, and by its id when it submits a job itself.
func TestJobsOfOtherAccountsAreHidden(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submissionBy(acme, "j", "a", "b")))
		time.Sleep(time.Second) // the others know the owner
		check := func(allowed ...itemjob.Caller) {
			for _, n := range f.nodes {
				for _, caller := range []itemjob.Caller{blue, nobody} {
					requireHidden(t, n, caller)
					err := n.service.Submit(t.Context(), submissionBy(caller, "j", "c"))
					require.ErrorIs(t, err, itemjobs.ErrRefused)
					require.Equal(t, itemjobs.Refused, itemjobs.OutcomeOf(err))
				}
				for _, caller := range allowed {
					requireServed(t, n, caller)
					require.NoError(t, n.service.Submit(t.Context(), submissionBy(caller, "j", "a", "b")))
				}
			}
		}
		check(acme, anybody)
		f.nodes[1].store.setUnreachable(true)
		requireHidden(t, f.nodes[1], blue)
		require.ErrorIs(t, f.nodes[1].service.Submit(t.Context(), submissionBy(blue, "j", "c")), itemjobs.ErrRefused, "forwarded to a peer")
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submissionBy(acme, "j", "a", "b")))
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submissionBy(anybody, "j", "a", "b")))
		f.nodes[1].store.setUnreachable(false)
		page, err := f.nodes[2].service.Read(t.Context(), acme, "j", 0, 10*time.Second)
		require.NoError(t, err)
		require.NotEmpty(t, page.Results, "the owner did not serve the account through a peer, and the store is read without waiting")
		page.Release()
		requireCompleted(t, f.readAllBy(f.nodes[2], acme, "j"), "a", "b")
		check(acme, anybody)
		require.NoError(t, f.nodes[2].service.End(t.Context(), acme, "j"))
		check(acme)
		require.Empty(t, f.runsOf("c"))
	})
}

// readAllBy is readAll by a caller.
func (f *testFleet) readAllBy(n *node, caller itemjob.Caller, id itemjob.ID) []itemjob.Result {
	page, err := n.service.Read(f.t.Context(), caller, id, 0, 0)
	require.NoError(f.t, err)
	return page.Results
}

// Guards against a job that loses its account, and is then open to all or runs without it, when another instance becomes its owner.
func TestJobsKeepTheirAccount(t *testing.T) {
	for name, leave := range map[string]func(*testFleet, *node){
		"a hand-over": func(f *testFleet, n *node) { n.service.Drain(f.t.Context()); f.kill(n) },
		"a take-over": func(f *testFleet, n *node) { f.kill(n) },
		"a release": func(f *testFleet, n *node) {
			f.kill(f.nodes[1])
			f.kill(f.nodes[2])
			time.Sleep(10 * time.Second)
			n.service.Drain(f.t.Context())
			f.kill(n)
		},
		"a forwarded job":      func(f *testFleet, n *node) {},
		"all instances killed": func(f *testFleet, n *node) { f.kill(f.nodes[0]); f.kill(f.nodes[1]); f.kill(f.nodes[2]) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, func(t *testing.T, f *testFleet) {
				time.Sleep(time.Second)
				f.setPauses(func(string, int, bool) time.Duration { return time.Second })
				first := f.nodes[0]
				if name == "a forwarded job" {
					first.store.setUnreachable(true)
				}
				require.NoError(t, first.service.Submit(t.Context(), submissionBy(acme, "j", "a", "b")))
				time.Sleep(1500 * time.Millisecond)
				leave(f, first)
				next := f.start("i9", "10.0.0.99")
				time.Sleep(20 * time.Second)
				f.setPauses(nil)
				time.Sleep(30 * time.Second)
				requireHidden(t, next, blue)
				requireHidden(t, next, nobody)
				require.ErrorIs(t, next.service.Submit(t.Context(), submissionBy(blue, "j", "c")), itemjobs.ErrRefused)
				requireCompleted(t, f.readAllBy(next, acme, "j"), "a", "b")
				for _, item := range []string{"a", "b"} {
					runs := f.runsOf(item)
					require.NotEmpty(t, runs)
					for _, r := range runs {
						require.Equal(t, "acme", r.account, "run of %s from %s", item, r.from)
					}
				}
			})
		})
	}
}

// Guards against a job without an account that asks for one, and that passes to an account which submits it again.
func TestJobsWithoutAnAccountAreOpen(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submissionBy(blue, "j", "a", "b")))
		for _, n := range f.nodes {
			for _, caller := range []itemjob.Caller{acme, blue, nobody, anybody} {
				requireServed(t, n, caller)
			}
		}
		time.Sleep(6 * time.Second)
		require.Empty(t, f.runsOf("a")[0].account)
		require.NoError(t, f.nodes[1].service.End(t.Context(), acme, "j"))
	})
}
