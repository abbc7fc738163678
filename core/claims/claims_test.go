package claims

import (
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

var (
	now  = time.Unix(1_700_000_000, 0).UTC()
	self = Owner{Instance: "self", Incarnation: 7}
)

func recordOf(state State, owner Owner) *Record {
	r := New(Attempt{Owner: owner, Token: "t", RequestDigest: "d", Operation: "op"}, now)
	r.State = state
	if state == Done {
		r.Response = &Response{Status: 200, Body: []byte("first")}
	}
	return &r
}

// Guards against a second run of a request, against an owner that is treated as dead while it is only suspected, and
// against waiting for an owner that is dead.
func TestDecisionDependsOnTheRecordAndTheOwnersLiveness(t *testing.T) {
	other := Owner{Instance: "other", Incarnation: 1}
	cases := map[string]struct {
		record   *Record
		liveness Liveness
		digest   string
		at       time.Time
		want     ActionKind
	}{
		"a new key is claimed":                               {nil, Dead, "d", now, Claim},
		"a released key is claimed again":                    {recordOf(Released, other), Dead, "d", now, Claim},
		"a recorded response is replayed":                    {recordOf(Done, other), Dead, "d", now, Replay},
		"an unknown outcome is reported":                     {recordOf(Unknown, other), Alive, "d", now, ReportUnknown},
		"a live owner is waited for":                         {recordOf(Claimed, other), Alive, "d", now, WaitForOwner},
		"a suspected owner is waited for":                    {recordOf(Claimed, other), Uncertain, "d", now, WaitForOwner},
		"a dead owner's claim is marked unknown":             {recordOf(Claimed, other), Dead, "d", now, MarkUnknown},
		"a claim of this process is waited for":              {recordOf(Claimed, self), Dead, "d", now, WaitForOwner},
		"a claim of another incarnation is marked unknown":   {recordOf(Claimed, Owner{"self", 6}), Alive, "d", now, MarkUnknown},
		"a different request under the key is a mismatch":    {recordOf(Done, other), Alive, "x", now, Mismatch},
		"a mismatch counts for a released key as well":       {recordOf(Released, other), Alive, "x", now, Mismatch},
		"a claim older than any wait is not waited for":      {recordOf(Claimed, other), Alive, "d", now.Add(maxCallerWait + 1), ReportInProgress},
		"a dead owner's old claim is marked unknown as well": {recordOf(Claimed, other), Dead, "d", now.Add(time.Hour), MarkUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			livenessOf := func(fleet.InstanceID, uint64) Liveness { return tc.liveness }
			require.Equal(t, tc.want, Decide(tc.record, self, livenessOf, tc.digest, tc.at).Kind)
		})
	}
}

// Guards against transitions that lose a recorded response, let a request of unknown outcome run again or change another
// attempt's claim.
func TestTransitionsKeepFinalStatesAndClaimsOfOtherAttempts(t *testing.T) {
	complete := func(r Record, token string) (Record, error) { return Complete(r, token, Response{Status: 201}) }
	reclaim := func(r Record, _ string) (Record, error) { return Reclaim(r, Attempt{Token: "t2"}, now) }
	retake := func(r Record, token string) (Record, error) {
		return ReplaceUndispatched(r, token, Attempt{Token: "t2"}, now)
	}
	markLost := func(r Record, _ string) (Record, error) { return MarkLost(r) }
	steps := map[string]struct {
		step func(Record, string) (Record, error)
		want map[State]State // "" for ErrTransition
	}{
		"complete": {complete, map[State]State{Claimed: Done, Done: Done, Unknown: Done, Released: ""}},
		"release":  {Release, map[State]State{Claimed: Released, Released: Released, Unknown: "", Done: ""}},
		"abandon":  {Abandon, map[State]State{Claimed: Unknown, Unknown: Unknown, Released: "", Done: ""}},
		"mark":     {markLost, map[State]State{Claimed: Unknown, Unknown: Unknown, Released: "", Done: ""}},
		"reclaim":  {reclaim, map[State]State{Released: Claimed, Claimed: "", Unknown: "", Done: ""}},
		"retake":   {retake, map[State]State{Claimed: Claimed, Released: "", Unknown: "", Done: ""}},
	}
	for name, tc := range steps {
		for from, want := range tc.want {
			next, err := tc.step(*recordOf(from, self), "t")
			if want == "" {
				require.ErrorIs(t, err, ErrTransition, "%s from %s", name, from)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, want, next.State, "%s from %s", name, from)
		}
	}
	for _, step := range []func(Record, string) (Record, error){complete, Release, Abandon, retake} {
		_, err := step(*recordOf(Claimed, self), "other token")
		require.ErrorIs(t, err, ErrNotOwner)
	}
	again, err := complete(*recordOf(Done, self), "t")
	require.NoError(t, err)
	require.Equal(t, "first", string(again.Response.Body))
	_, err = Complete(*recordOf(Claimed, self), "t", Response{Body: make([]byte, MaxResponseBody+1)})
	require.ErrorIs(t, err, ErrResponseTooLarge)
}

// Guards against a record that changes when it is encoded and decoded, and against a malformed one that is accepted.
func TestRecordsRoundTripAndMalformedOnesAreRejected(t *testing.T) {
	for _, state := range []State{Claimed, Done, Released, Unknown} {
		want := *recordOf(state, self)
		value, err := want.Encode()
		require.NoError(t, err)
		got, err := Decode(value)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, broken := range []string{``, `{}`, `{"state":"done"}`, `{"state":"other"}`, `[]`} {
		_, err := Decode([]byte(broken))
		require.ErrorIs(t, err, ErrInvalidRecord, broken)
	}
	require.NotEqual(t, Key("ab", "c"), Key("a", "bc"))
	require.Len(t, Key("a", "b"), 64)
}
