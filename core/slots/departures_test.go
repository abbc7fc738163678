package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// departureStart is the start of the target of departure tests, one minute before now.
var departureStart = now.Add(-time.Minute)

// departureTarget returns a target that started at a time.
func departureTarget(started time.Time, state fleet.TargetState) slots.Target {
	t := target("t1", "a1")
	t.Started, t.State = started.UnixMilli(), state
	return t
}

// listingStep is a reading of the target's entry after the response.
type listingStep struct {
	target    slots.Target
	revision  int64
	horizonAt time.Duration // after the response
	horizon   int64
}

// Guards against a departure that ends by a change made before the response, by a rewritten entry or by its return, and against one that outlasts
// a new registration.
func TestOnlyLaterRegistrationEndsDeparture(t *testing.T) {
	live, leaving := departureTarget(departureStart, fleet.TargetLive), departureTarget(departureStart, fleet.TargetLeaving)
	moved := live
	moved.Address = "elsewhere:80"
	restarted := departureTarget(now.Add(10*time.Second), fleet.TargetLive)
	early := departureTarget(now.Add(-time.Second), fleet.TargetLive)
	cases := map[string]struct {
		known slots.Target // entry at the time of the response
		steps []listingStep
		ends  bool
	}{
		"the entry is rewritten":                            {live, []listingStep{{live, 11, 1, 11}, {live, 12, 2, 12}, {live, 13, 3, 13}}, false},
		"another registration was read late":                {live, []listingStep{{moved, 11, 1, 11}}, false},
		"and is rewritten":                                  {live, []listingStep{{moved, 11, 1, 11}, {moved, 12, 2, 12}}, false},
		"it was read by a call from before the response":    {live, []listingStep{{moved, 11, -1, 11}}, false},
		"it was read from a peer that does not say when":    {live, []listingStep{{moved, 11, -1000000, 0}}, false},
		"another registration followed the response":        {live, []listingStep{{live, 11, 1, 11}, {moved, 12, 2, 12}}, true},
		"the departure was cancelled":                       {live, []listingStep{{leaving, 11, 1, 11}, {live, 12, 2, 12}}, true},
		"it was cancelled and the entry said so before":     {leaving, []listingStep{{leaving, 11, 1, 11}, {live, 12, 2, 12}}, true},
		"it was cancelled within the call that is read":     {leaving, []listingStep{{live, 11, 1, 11}, {live, 12, 2, 12}}, true},
		"the entry says that it leaves":                     {live, []listingStep{{leaving, 11, 1, 11}, {leaving, 12, 2, 12}}, false},
		"a restart after the request is read in one call":   {live, []listingStep{{restarted, 11, 1, 11}}, true},
		"a restart that may have received the request":      {live, []listingStep{{early, 11, 1, 11}, {early, 12, 2, 12}}, false},
		"a restart from before, followed by a later one":    {live, []listingStep{{early, 11, 1, 11}, {restarted, 12, 2, 12}}, true},
		"a restart by a clock that is behind follows later": {live, []listingStep{{live, 11, 1, 11}, {early, 12, 2, 12}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := newView("i1", c.known)
			v.ApplyEntries([]slots.Entry{{Target: c.known, Revision: 10}}, slots.Horizon{At: now.Add(-time.Second), Revision: 10}, now)
			require.True(t, v.MarkLeaving(c.known, now.Add(-100*time.Millisecond), now))
			require.False(t, v.MarkLeaving(c.known, now.Add(-100*time.Millisecond), now), "it is marked already")
			ended := 0
			for _, s := range c.steps {
				requireNoTarget(t, v)
				v.SetTargets([]slots.Target{s.target})
				entries := []slots.Entry{{Target: s.target, Revision: s.revision}}
				ended += len(v.ApplyEntries(entries, slots.Horizon{At: now.Add(s.horizonAt * time.Second), Revision: s.horizon}, now))
			}
			if !c.ends {
				requireNoTarget(t, v)
				return
			}
			require.Equal(t, 1, ended)
			require.Equal(t, fleet.TargetID("t1"), place(t, v))
		})
	}
}

func requireNoTarget(t *testing.T, v *slots.View) {
	t.Helper()
	_, result := v.Place("s", "r", nil, now)
	require.Equal(t, slots.NoTarget, result)
	_, ok := v.PlaceBatch("s", "r", nil, true, now)
	require.False(t, ok)
	require.False(t, v.HasTarget("s", nil))
	require.Zero(t, v.Pool("s", now).Usable)
}

// Guards against a departure that is forgotten while its target is not listed, or that another target with the same address inherits.
func TestDepartureBelongsToTheTarget(t *testing.T) {
	leaving := departureTarget(departureStart, fleet.TargetLive)
	v := newView("i1", leaving)
	v.MarkLeaving(leaving, now, now)
	other := departureTarget(departureStart, fleet.TargetLive)
	other.ID = "t2"
	v.SetTargets([]slots.Target{other})
	require.Empty(t, v.Departing())
	require.Equal(t, fleet.TargetID("t2"), place(t, v))
	v.SetTargets([]slots.Target{leaving})
	requireNoTarget(t, v)
	require.Equal(t, []slots.Target{leaving}, v.Departing())
}

// Guards against a response of a former process that keeps requests from the one that runs now.
func TestLateResponseDoesNotMarkRestartedTarget(t *testing.T) {
	restarted := departureTarget(now.Add(5*time.Second), fleet.TargetLive)
	v := newView("i1", restarted)
	require.False(t, v.MarkLeaving(departureTarget(departureStart, fleet.TargetLive), now, now.Add(20*time.Second)))
	require.Equal(t, fleet.TargetID("t1"), place(t, v))
	require.True(t, v.MarkLeaving(restarted, now, now), "its clock may be ahead; the request was placed with it")
}

// Guards against a peer's report that keeps requests from a later registration, and against one that is lost.
func TestPeerReportsDeparture(t *testing.T) {
	old, listed := departureTarget(departureStart, fleet.TargetLive), departureTarget(now, fleet.TargetLive)
	v := newView("i1", listed)
	require.False(t, v.MarkLeavingFromPeer(old, now))
	require.True(t, v.MarkLeavingFromPeer(listed, now))
	require.False(t, v.MarkLeavingFromPeer(listed, now), "it is known already")
	requireNoTarget(t, v)
}

// Guards against a peer's report of an unlisted target that keeps requests for ever from a registration that followed before the report.
func TestLaterRegistrationEndsThePeersReport(t *testing.T) {
	reported := departureTarget(departureStart, fleet.TargetLive)
	for _, c := range []struct {
		listed slots.Target
		ends   bool
	}{{departureTarget(now.Add(-time.Second), fleet.TargetLive), true}, {reported, false}, {departureTarget(departureStart.Add(-time.Second), fleet.TargetLive), false}} {
		v := newView("i1", target("t2", "a2"))
		require.True(t, v.MarkLeavingFromPeer(reported, now))
		v.SetTargets([]slots.Target{c.listed})
		v.ApplyEntries([]slots.Entry{{Target: c.listed, Revision: 11}}, slots.Horizon{At: now.Add(time.Second), Revision: 11}, now)
		require.Equal(t, !c.ends, !v.HasTarget("s", nil), "%+v", c.listed)
	}
}

// Guards against memory that grows with each target that ever left, and against forgetting listed ones for that.
func TestDeparturesAreBounded(t *testing.T) {
	listed := departureTarget(departureStart, fleet.TargetLive)
	v := newView("i1", listed)
	v.MarkLeaving(listed, now, now)
	gone := func(i int) slots.Target {
		return slots.Target{Target: fleet.Target{ID: fleet.TargetID(fmt.Sprint("gone", i)), State: fleet.TargetLive}}
	}
	const marks, remembered = 3000, 1000
	for i := range marks {
		at := now.Add(time.Duration(i) * time.Second)
		v.MarkLeaving(gone(i), at, at)
	}
	requireNoTarget(t, v)
	v.SetTargets([]slots.Target{gone(marks - 2*remembered), gone(marks - remembered)})
	require.Equal(t, []slots.Target{gone(marks - remembered)}, v.Departing())
}
