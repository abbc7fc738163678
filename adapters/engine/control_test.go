package engine_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/engine"
	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
	standin "eelgrassproxy.example/standin/engine"
)

func loadOrder(fence int64, model string) api.Order {
	return api.Order{Fence: fence, Action: api.OrderActionLoadModel, Model: api.NewOptString(model), Version: api.NewOptString("1")}
}

func TestFencing(t *testing.T) {
	// Guards against a paused holder's late order undoing its successor's, and pins down the engines that ignore fencing.
	for _, ignores := range []bool{false, true} {
		o := options()
		o.IgnoreFencing = ignores
		run(t, o, func(t *testing.T, b bench) {
			ctx := b.ctx
			state, err := b.client.Order(ctx, address, loadOrder(7, "new"))
			require.NoError(t, err)
			require.True(t, state.Models[1].Loading.Value)
			_, err = b.client.Order(ctx, address, loadOrder(6, "old"))
			if ignores {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, engine.ErrStaleFence)
				require.ErrorIs(t, err, engine.ErrRejected)
			}
			time.Sleep(o.LoadDuration)
			synctest.Wait() // The load ends at the virtual instant at which the sleep does.
			state, err = b.client.State(ctx, address)
			require.NoError(t, err)
			require.Equal(t, int64(7), state.Fence)
			require.False(t, state.Models[1].Loading.Value)
			require.Len(t, state.Models, map[bool]int{false: 2, true: 3}[ignores])
		})
	}
}

// firstToken returns the time to the first token of a new request.
func firstToken(t *testing.T, b bench, to, id, prompt string) time.Duration {
	start := time.Now()
	a, err := b.client.Start(b.ctx, to, engine.Request{ID: id, Body: chat(prompt, 1, true)})
	require.NoError(t, err)
	defer a.Body.Close()
	_, err = io.ReadFull(a.Body, make([]byte, 1))
	require.NoError(t, err)
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, a.Body)
	require.NoError(t, err)
	return elapsed
}

func TestPrefixCacheShortensTimeToFirstToken(t *testing.T) {
	// Guards against a stand-in on which prefix affinity and KV transfer make no difference.
	o := options()
	prompt := strings.Repeat("word ", 1600)
	run(t, o, func(t *testing.T, b bench) {
		other := standin.New(o)
		defer other.Close()
		const otherAddress = "10.0.0.2:8000"
		defer serve(t, b.network, otherAddress, other)()

		cold := firstToken(t, b, address, "r1", prompt)
		warm := firstToken(t, b, address, "r2", prompt+strings.Repeat("other ", 16))
		require.Greater(t, cold, 160*time.Millisecond)
		require.Less(t, warm, 15*time.Millisecond)

		events, err := b.client.CacheEvents(b.ctx, address, 0)
		require.NoError(t, err)
		require.Len(t, events.Events, 101)
		var blocks []string
		for _, e := range events.Events {
			blocks = append(blocks, e.Block)
		}
		exported, err := b.client.ExportKV(b.ctx, address, blocks)
		require.NoError(t, err)
		held, err := b.client.ImportKV(b.ctx, otherAddress, exported)
		require.NoError(t, err)
		require.Equal(t, 101, held)
		require.Less(t, firstToken(t, b, otherAddress, "r3", prompt), 15*time.Millisecond)
	})
}

func TestLoadReportLags(t *testing.T) {
	// Guards against a stand-in with fresher reports than engines have, and against ages taken for the present.
	o := options()
	o.MaxRunning = 1
	run(t, o, func(t *testing.T, b bench) {
		start := time.Now()
		time.Sleep(10 * time.Millisecond)
		for _, id := range []string{"r1", "r2", "r3"} {
			_, err := b.client.Start(b.ctx, address, engine.Request{ID: id, Body: chat("x", 1000, true)})
			require.NoError(t, err)
		}
		time.Sleep(90 * time.Millisecond)
		report, err := b.client.Load(b.ctx, address)
		require.NoError(t, err)
		require.Equal(t, fleet.LoadReport{KVBlocksFree: 1000, KVBlocksTotal: 1000, SampledAt: start}, report)
		time.Sleep(o.LoadLag)
		report, err = b.client.Load(b.ctx, address)
		require.NoError(t, err)
		require.Equal(t, 1, report.Running)
		require.Equal(t, 2, report.Waiting)
		require.Equal(t, start.Add(o.LoadLag), report.SampledAt)
	})
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	// Guards against a stand-in whose cache events are more reliable than those of engines.
	o := options()
	o.CacheEventLag, o.CacheEventGapEvery = time.Second, 3
	run(t, o, func(t *testing.T, b bench) {
		firstToken(t, b, address, "r1", strings.Repeat("word ", 16*5))
		events, err := b.client.CacheEvents(b.ctx, address, 0)
		require.NoError(t, err)
		require.Empty(t, events.Events)
		time.Sleep(o.CacheEventLag)
		events, err = b.client.CacheEvents(b.ctx, address, 1)
		require.NoError(t, err)
		require.Equal(t, int64(5), events.Next)
		require.Len(t, events.Events, 3) // 2, 4 and 5
	})
}

func TestParseLoad(t *testing.T) {
	// Guards against half a report that reads as an idle engine.
	now := time.Unix(1000, 0)
	full := fleet.LoadReport{Running: 3, KVBlocksFree: 900, KVBlocksTotal: 1000, SampledAt: now.Add(-250 * time.Millisecond)}
	cases := []struct {
		name, value string
		valid       bool
	}{
		{"a full report", "running=3;waiting=0;free=900;total=1000;age_ms=250", true},
		{"unknown fields and spaces", "running=3; waiting=0; free=900;new=x;total=1000;age_ms=250", true},
		{"a missing field", "running=3;waiting=0;free=900;total=1000", false},
		{"a negative number", "running=-3;waiting=0;free=900;total=1000;age_ms=250", false},
		{"no report", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report, err := engine.ParseLoad(c.value, now)
			require.Equal(t, c.valid, err == nil)
			if c.valid {
				require.Equal(t, full, report)
			}
		})
	}
}
