package experiments

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// quantile returns the q-th quantile of the durations, 0 without any.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// Guards against a comparison that misses a changed or missing figure, or reports one within the tolerance.
func TestCompareFindsChangedAndMissingFigures(t *testing.T) {
	before := &Results{Experiment: "x", Columns: []string{"p50_ms", "p99_ms"}}
	before.Add("default", 100, 200)
	before.Add("random", 150, 900)
	file := filepath.Join(t.TempDir(), "x.json")
	require.NoError(t, before.Save(file))
	loaded, err := LoadResults(file)
	require.NoError(t, err)
	require.Empty(t, Compare(before, loaded, 0))

	after := &Results{Experiment: "x", Columns: []string{"p50_ms", "p99_ms"}}
	after.Add("default", 104, 260)
	changes := Compare(loaded, after, 0.05)
	require.Len(t, changes, 3)
	require.Equal(t, Change{Row: "default", Column: "p99_ms", Before: 200, After: 260}, changes[0])
	require.Equal(t, "random", changes[1].Row)
}

// Guards against loads that differ between runs, and a load whose rate or lengths are not what the constants say.
func TestArrivalsAreRepeatableAndAsStated(t *testing.T) {
	l := Load{Seed: 7, Rate: 100, Duration: 100 * time.Second}
	arrivals := l.Arrivals()
	require.Equal(t, arrivals, l.Arrivals())
	require.InDelta(t, 10_000, len(arrivals), 400)
	words, tokens := 0, 0
	for _, a := range arrivals {
		words += len(a.Prompt)
		tokens += a.Tokens
	}
	require.InDelta(t, meanPromptTokens, float64(words)/float64(len(arrivals)), 5)
	require.InDelta(t, meanAnswerTokens, float64(tokens)/float64(len(arrivals)), 2)
}

// Guards against a checker that lets a wrong or cut answer pass.
func TestOutcomeCheckFindsWrongAndCutAnswers(t *testing.T) {
	a := Arrival{ID: "r", Prompt: []string{"one", "two"}, Tokens: 2}
	words := a.expected()
	event := func(text string) string { return `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n" }
	cases := map[string]struct{ body, violation string }{
		"a whole answer":               {event(words[0]) + event(" "+words[1]) + "data: [DONE]\n\n", ""},
		"a cut answer told as such":    {event(words[0]) + "event: error\ndata: {}\n\n", ""},
		"a cut answer told as whole":   {event(words[0]) + "data: [DONE]\n\n", "incomplete answer told as whole"},
		"another answer's word":        {event("other") + event(" "+words[1]) + "data: [DONE]\n\n", "wrong answer"},
		"a word too many":              {event(words[0]) + event(" "+words[1]) + event(" more") + "data: [DONE]\n\n", "wrong answer"},
		"an event that cannot be read": {"data: {\n\n", "event cannot be decoded"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var o Outcome
			o.check(a, []byte(c.body))
			require.Equal(t, c.violation, o.Violation)
		})
	}
}

// Guards against a bound that loses requests, or is above what one idle engine needs.
func TestBoundServesEachRequestAndAnIdleEngineAtOnce(t *testing.T) {
	o := EngineOptions(0)
	arrivals := Load{Seed: 3, Rate: 0.9 * Capacity(4, o), Duration: time.Minute}.Arrivals()
	measured := len(arrivals) - slices.IndexFunc(arrivals, func(a Arrival) bool { return a.At >= warmUp })
	for _, push := range []bool{false, true} {
		require.EqualValues(t, measured, bound(arrivals, 4, o, push).Count())
		single := []Arrival{{At: warmUp, Prompt: make([]string, 99), Tokens: 5}}
		least := o.StepBase + o.StepPerSequence + 100*o.PrefillPerToken
		require.InDelta(t, least.Seconds()*1000, bound(single, 4, o, push).Ms(50), 2.1)
	}
}
