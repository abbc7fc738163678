package poison_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a crash of a target under a request, or a completed answer if target is empty.
type event struct {
	second  float64
	target  string
	request string
	parts   string // separated by commas
}

func at(second float64) time.Time { return epoch.Add(time.Duration(second * float64(time.Second))) }

func split(parts string) []poison.Part {
	var all []poison.Part
	for p := range strings.SplitSeq(parts, ",") {
		all = append(all, poison.Part(p))
	}
	return all
}

func (e event) apply(t *poison.Tracker) []poison.Record {
	if e.target == "" {
		return t.Completed(split(e.parts), at(e.second))
	}
	c := poison.Crash{Target: fleet.TargetID(e.target), Parts: split(e.parts), Caller: "acme", Request: fleet.RequestID(e.request), At: at(e.second)}
	return t.Crashed(c, at(e.second))
}

// blocked returns the blocked ones of a number of parts, with a plus between those that a request must hold together to be refused.
func blocked(t *poison.Tracker, parts string) string {
	tied := map[poison.Part][]poison.Part{}
	for _, e := range t.Entries(at(0)) {
		tied[e.Part] = slices.Sorted(slices.Values(append(e.Tied, e.Part)))
	}
	var found []string
	for _, p := range split(parts) {
		if _, ok := t.Blocked(tied[p]); ok && tied[p][0] == p {
			found = append(found, strings.Trim(strings.ReplaceAll(fmt.Sprint(tied[p]), " ", "+"), "[]"))
		}
	}
	return strings.Join(found, ",")
}

// crashes returns crashes of a target in each of the given seconds, under requests of their own.
func crashes(parts string, seconds ...int) []event {
	var all []event
	for _, s := range seconds {
		all = append(all, event{float64(s), fmt.Sprint("t", s), fmt.Sprint(parts, s), parts})
	}
	return all
}

// Guards against a sound part that is blocked and against a guilty one that is not.
func TestDecision(t *testing.T) {
	answer := func(second float64, parts string) []event { return []event{{second, "", "", parts}} }
	sound := answer(0, "first,other")
	cases := map[string]struct {
		events [][]event
		want   string
	}{
		"crashes of two targets":                 {[][]event{sound, crashes("first,bad", 1, 2)}, ""},
		"crashes of three targets":               {[][]event{crashes("first,bad", 1, 2, 3)}, "bad+first"},
		"an answer before the crashes":           {[][]event{sound, crashes("first,bad", 1, 2, 3)}, "bad"},
		"an answer between the crashes":          {[][]event{crashes("first,bad", 1), answer(1.5, "first"), crashes("first,bad", 2, 3)}, "bad"},
		"an answer after the crashes":            {[][]event{crashes("first,bad", 1, 2, 3), answer(4, "first")}, "bad"},
		"an answer with the part itself":         {[][]event{crashes("bad", 1, 2, 3), answer(4, "bad")}, ""},
		"one request that is sent three times":   {[][]event{{{1, "t1", "r", "bad"}, {2, "t2", "r", "bad"}, {3, "t3", "r", "bad"}}}, ""},
		"a crash that is seen several times":     {[][]event{{{1, "t1", "r1", "bad"}, {1, "t1", "r2", "bad"}, {2.9, "t1", "r3", "bad"}}}, ""},
		"one target that starts again":           {[][]event{{{1, "t1", "r1", "bad"}, {3.5, "t1", "r2", "bad"}, {6, "t1", "r3", "bad"}}}, "bad"},
		"a stronger part explains the crashes":   {[][]event{crashes("rare", 1, 2, 3), crashes("bad", 1, 2, 3, 4)}, "bad"},
		"the stronger part is known first":       {[][]event{crashes("bad", 1, 2, 3, 4), crashes("rare", 1, 2, 3)}, "bad"},
		"an equal part explains the crashes":     {[][]event{crashes("rare", 1, 2, 3), crashes("bad", 1, 2, 3)}, "bad+rare"},
		"the next crash tells equal parts apart": {[][]event{crashes("rare,bad", 1, 2, 3), crashes("bad", 4)}, "bad"},
		"two crashes are not explained":          {[][]event{crashes("rare", 1, 2, 6, 7), crashes("bad", 1, 2, 3, 4, 5)}, "bad"},
		"three crashes are not explained":        {[][]event{crashes("worse", 1, 6, 7, 8), crashes("bad", 1, 2, 3, 4, 5)}, "worse,bad"},
		"each crash is explained by one of two": {
			[][]event{crashes("rare", 1, 2, 3, 6, 7, 8), crashes("worse", 6, 7, 8, 9), crashes("bad", 1, 2, 3, 4, 5, 10, 11)}, "worse,bad",
		},
		"the part that explains them has an answer":  {[][]event{crashes("rare", 1, 2, 3), crashes("bad", 1, 2, 3, 4), answer(5, "bad")}, "rare"},
		"a part is listed in several ways and twice": {[][]event{crashes("bad,x", 1), crashes("y,bad,bad", 2), crashes("bad", 3)}, "bad"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := poison.New(poison.DefaultPolicy())
			for _, e := range slices.Concat(c.events...) {
				e.apply(tracker)
			}
			require.Equal(t, c.want, blocked(tracker, "first,other,rare,worse,bad"))
		})
	}
}

// Guards against a sound part that no answer can clear because all requests with it are refused, and against a tie that lets the guilty part pass.
func TestOnlyRequestsWithAllEqualPartsAreRefused(t *testing.T) {
	tracker := poison.New(poison.DefaultPolicy())
	refused := func(parts string) bool {
		_, ok := tracker.Blocked(split(parts))
		return ok
	}
	for _, e := range crashes("first,bad", 1, 2, 3) {
		e.apply(tracker)
	}
	require.True(t, refused("first,x,bad"))
	require.False(t, refused("first,x"))
	event{4, "", "", "first,x"}.apply(tracker)
	require.True(t, refused("bad"))
	for i := range 100 { // more crashes than are recorded
		event{float64(10 + i), fmt.Sprint("u", i), fmt.Sprint("q", i), "many,too"}.apply(tracker)
	}
	require.True(t, refused("many"))
}

// Guards against a block that ends by itself, a lifted part that stays blocked or can't be blocked again, and its crashes blamed on others.
func TestLift(t *testing.T) {
	tracker, peer := poison.New(poison.DefaultPolicy()), poison.New(poison.DefaultPolicy())
	for _, e := range slices.Concat(crashes("bad", 0, 1, 2, 3), crashes("rare", 0, 1, 2)) {
		e.apply(tracker)
	}
	later := epoch.Add(100 * 24 * time.Hour)
	peer.Merge(tracker.Records(9, later), later)
	require.Equal(t, "bad", blocked(peer, "bad,rare"))
	_, ok := tracker.Lift("unknown", later)
	require.False(t, ok)
	records, ok := tracker.Lift("bad", later)
	require.True(t, ok)
	require.Empty(t, blocked(tracker, "bad,rare"))
	require.Equal(t, poison.Lifted, tracker.Entries(later)[0].State)
	old := peer.Records(9, later)
	peer.Merge(records, later)
	_, answers := tracker.Merge(old, later)
	require.Len(t, answers, 1)
	require.Empty(t, blocked(tracker, "bad,rare")+blocked(peer, "bad,rare"))
	seconds := int(later.Sub(epoch).Seconds())
	for i, e := range crashes("bad", seconds, seconds+1, seconds+2, seconds+3) {
		if i < 3 {
			e.request = "one that is sent again"
		}
		e.apply(peer)
		require.Equal(t, i == 3, blocked(peer, "bad") == "bad")
	}
	require.Equal(t, 4, peer.Entries(later.Add(4 * time.Second))[0].Unexplained)
}

// Guards against tables without bound, and against a block that is lost to parts that a client made up.
func TestTablesAreBounded(t *testing.T) {
	policy := poison.DefaultPolicy()
	policy.MaxSuspects, policy.MaxBlocked, policy.MaxCompleted, policy.MaxParts, policy.MaxCrashes = 10, 2, 10, 3, 5
	tracker := poison.New(policy)
	for i := range 9 {
		event{float64(i) / 10, fmt.Sprint("t", i), fmt.Sprint("r", i), "bad"}.apply(tracker)
	}
	for i := range 100 {
		parts := fmt.Sprintf("a%d,b%d,c%d,d%d,e%d", i, i, i, i, i)
		event{float64(i), fmt.Sprint("u", i), fmt.Sprint("r", i), parts}.apply(tracker)
		event{float64(i), "", "", "z" + strings.ReplaceAll(parts, ",", ",z")}.apply(tracker)
	}
	entries := tracker.Entries(at(200))
	require.Len(t, entries, 11)
	require.Equal(t, poison.Part("bad"), entries[0].Part)
	require.Len(t, entries[0].Crashes, 5)
	for _, e := range entries[1:] {
		require.Regexp(t, "^[abc](96|97|98|99)$", e.Part)
	}
	for _, p := range []string{"x", "y"} { // two more blocked parts, of which the first has refused no request
		for _, e := range crashes(p, 200, 201, 202) {
			e.target += p
			e.apply(tracker)
		}
		tracker.Blocked([]poison.Part{"bad"})
	}
	require.Equal(t, "bad,y", blocked(tracker, "bad,x,y"))
	long := poison.PartOf(strings.Repeat("f", 1000))
	require.Len(t, long, poison.MaxPartBytes)
	require.NotEqual(t, long, poison.PartOf(strings.Repeat("f", 1001)))
}

// Guards against records of a faulty sender that take memory without bound, or that no later evidence can outweigh.
func TestRecordsAreClamped(t *testing.T) {
	tracker := poison.New(poison.DefaultPolicy())
	wild := poison.Record{Part: "a", Epoch: 1<<32 - 1, BlockedMillis: 1 << 62}
	for i := range 1000 {
		wild.Callers = append(wild.Callers, fmt.Sprint(i, strings.Repeat("x", 1000)))
		wild.Requests = append(wild.Requests, uint32(i))
		wild.Crashes = append(wild.Crashes, poison.CrashRecord{Target: fleet.TargetID(fmt.Sprint("t", i)), AgeMillis: int64(i-500) << 53, Epoch: 1<<32 - 1})
	}
	same := poison.Record{Part: "b", Requests: []uint32{1, 2}, Crashes: slices.Repeat([]poison.CrashRecord{{Target: "t", AgeMillis: 5}}, 50)}
	long := poison.Record{Part: poison.Part(strings.Repeat("c", 1000)), Crashes: same.Crashes}
	tracker.Merge([]poison.Record{wild, same, long, {}, {Part: "d"}}, epoch)
	entries := tracker.Entries(epoch)
	require.Len(t, entries, 2)
	require.Len(t, entries[0].Crashes, 32)
	require.Len(t, entries[0].Callers, 4)
	require.Len(t, entries[1].Crashes, 1)
	wire, err := json.Marshal(tracker.Records(1, epoch))
	require.NoError(t, err)
	require.Less(t, len(wire), 2000)
	_, ok := tracker.Lift("a", epoch)
	require.True(t, ok)
	require.Empty(t, blocked(tracker, "a"))
}

// Guards against evidence that one side lacks after an exchange.
func TestPeersAreToldWhatTheyLack(t *testing.T) {
	tracker, peer := poison.New(poison.DefaultPolicy()), poison.New(poison.DefaultPolicy())
	for _, e := range crashes("bad", 1, 2) {
		e.apply(tracker)
	}
	event{1.8, "t1", "r", "bad"}.apply(peer) // the same crash, seen later
	event{3, "t3", "r", "bad"}.apply(peer)
	changed, answers := tracker.Merge(peer.Records(1, at(4)), at(4))
	require.Equal(t, answers, changed)
	changed, answers = peer.Merge(answers, at(4))
	require.Len(t, changed, 1)
	require.Empty(t, answers)
	require.Equal(t, "badbad", blocked(tracker, "bad")+blocked(peer, "bad"))
	require.Equal(t, tracker.Entries(at(5)), peer.Entries(at(5)))
	require.EqualValues(t, 4000, peer.Entries(at(5))[0].Crashes[0].AgeMillis)
}

// Guards against old crashes of one target that are counted again, or taken for each other, because the clocks of instances run at different rates.
func TestOldCrashesAreRecognized(t *testing.T) {
	const day = 24 * 3600
	tracker, peer := poison.New(poison.DefaultPolicy()), poison.New(poison.DefaultPolicy())
	for _, second := range []float64{20, 10, 0} {
		event{second, "t", fmt.Sprint(second), "bad"}.apply(tracker)
	}
	event{10, "t", "10", "bad"}.apply(peer)
	records := tracker.Records(1, at(day*1.0005))
	for range 2 {
		peer.Merge(records, at(day))
	}
	require.Equal(t, "bad", blocked(peer, "bad"))
	before := tracker.Entries(at(day))
	records[0].Crashes = records[0].Crashes[2:]
	changed, answers := tracker.Merge(records, at(day*1.0005))
	require.Empty(t, changed)
	require.Len(t, answers, 1)
	require.Equal(t, before, tracker.Entries(at(day)))
	require.Len(t, peer.Entries(at(day))[0].Crashes, 3)
}

// Guards against peers that don't hear of each blocked part soon because there are many suspects.
func TestBlockedPartsAreToldFirst(t *testing.T) {
	tracker := poison.New(poison.DefaultPolicy())
	for i := range 60 {
		event{float64(i), fmt.Sprint("t", i), fmt.Sprint("r", i), fmt.Sprintf("s%d,bad%d", i, i/3%6)}.apply(tracker)
	}
	told := map[poison.Part]int{}
	for call := range 20 {
		records := tracker.Records(8, at(100))
		require.Len(t, records, 8)
		for i, r := range records {
			told[r.Part]++
			require.Equal(t, i < 4, strings.HasPrefix(string(r.Part), "bad"))
		}
		if call == 1 {
			require.Len(t, told, 6+8)
		}
	}
	require.Len(t, told, 6+60)
	require.Len(t, tracker.Records(1000, at(100)), 66)
}

// Guards against instances that decide differently because they heard of the same evidence in another order, more than once, or in parts.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		var all [instances]*poison.Tracker
		for i := range all {
			all[i] = poison.New(poison.DefaultPolicy())
		}
		var told []poison.Record
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			tracker := all[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			part := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "part")
			switch rapid.IntRange(0, 30).Draw(t, "kind") {
			case 0:
				told = append(told, event{100, "", "", part}.apply(tracker)...)
			case 1:
				records, _ := tracker.Lift(poison.Part(part), at(100))
				told = append(told, records...)
			default:
				// Targets crash ten seconds apart; instances see a crash up to a second late.
				seen := float64(10*rapid.IntRange(0, 5).Draw(t, "round")) + rapid.Float64Range(0, 1).Draw(t, "delay")
				target := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
				told = append(told, tracker.Crashed(poison.Crash{
					Target: fleet.TargetID(target), Parts: split(part), At: at(seen), Request: fleet.RequestID(fmt.Sprint(i)),
				}, at(100))...)
			}
		}
		for _, tracker := range all { // what was cleared is told to those who ask
			records := tracker.Records(100, at(100))
			for _, peer := range all {
				_, answers := peer.Merge(records, at(100))
				told = append(told, answers...)
			}
		}
		var want string
		for i := range 4 {
			other := poison.New(poison.DefaultPolicy())
			order := rapid.Permutation(append(slices.Clone(told), told...)).Draw(t, "order")
			for len(order) > 0 {
				n := rapid.IntRange(1, len(order)).Draw(t, "n")
				other.Merge(order[:n], at(100))
				order = order[n:]
			}
			changed, answers := other.Merge(told, at(100))
			require.Empty(t, changed)
			for _, r := range answers { // nothing is news for one that has heard all
				changed, _ := other.Merge([]poison.Record{r}, at(100))
				require.Empty(t, changed)
			}
			got := ""
			for _, e := range other.Entries(at(100)) {
				got += fmt.Sprintln(e.Part, e.State, e.Epoch, len(e.Crashes), e.Unexplained)
			}
			if i == 0 {
				want = got
			}
			require.Equal(t, want, got)
		}
	})
}
