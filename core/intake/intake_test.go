package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eelgrassproxy.example/core/intake"
)

var epoch = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// plan has room for two large requests of a megabyte, and for the small parts of many.
var plan = intake.Plan{SmallBytes: 1 << 20, LargeBytes: 2 << 20}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// receiving adds a connection whose request is being received.
func receiving(t require.TestingT, l *intake.Listener, now time.Time) *intake.Client {
	c, _, ok := l.Accept(now, time.Time{})
	require.True(t, ok)
	c.Begin(now, time.Time{})
	return c
}

func reserve(c *intake.Client, n int64, now time.Time) intake.Verdict {
	verdict, _ := c.Reserve(n, now)
	return verdict
}

// Guards against bodies that stop short and keep the memory from those that come later, and against one that gives way while it makes progress.
func TestStalledBodiesGiveWay(t *testing.T) {
	l := intake.NewTable(plan).NewListener(10)
	stalled, steady := receiving(t, l, at(0)), receiving(t, l, at(0))
	require.Equal(t, intake.Granted, reserve(stalled, 1<<20, at(0)))
	require.Equal(t, intake.Granted, reserve(steady, 1<<20, at(0)))
	steady.Received(16<<10, at(900))
	next := receiving(t, l, at(1000))
	verdict, victim := next.Reserve(1<<20, at(1000))
	require.Equal(t, intake.Wait, verdict)
	require.Same(t, stalled, victim)
	require.True(t, stalled.Leaving())
	verdict, victim = next.Reserve(1<<20, at(1001))
	require.Equal(t, intake.Wait, verdict, "the victim still holds its memory")
	require.Nil(t, victim)
	stalled.Close()
	require.Equal(t, intake.Granted, reserve(next, 1<<20, at(1002)))
	require.Equal(t, intake.Refused, reserve(receiving(t, l, at(1003)), 1<<20, at(1003)), "all others make progress")
}

// Guards against a client that keeps its place by a byte now and then.
func TestDrippingIsNoProgress(t *testing.T) {
	l := intake.NewTable(plan).NewListener(10)
	dripping, steady := receiving(t, l, at(0)), receiving(t, l, at(0))
	require.Equal(t, intake.Granted, reserve(dripping, 1<<20, at(0)))
	require.Equal(t, intake.Granted, reserve(steady, 1<<20, at(0)))
	for ms := range 1000 {
		dripping.Received(1, at(ms))
		steady.Received(1<<10, at(ms))
	}
	_, victim := receiving(t, l, at(1000)).Reserve(1<<20, at(1000))
	require.Same(t, dripping, victim)
}

// Guards against large requests that take up the room of small ones, and against small ones that stop short and keep theirs.
func TestSmallRequestsHaveRoomOfTheirOwn(t *testing.T) {
	l := intake.NewTable(plan).NewListener(100)
	for range 2 {
		large := receiving(t, l, at(0))
		require.Equal(t, intake.Granted, reserve(large, 1<<20, at(0)))
		large.Complete(at(0))
	}
	first := receiving(t, l, at(1))
	require.Equal(t, intake.Granted, reserve(first, intake.SmallRequest, at(1)))
	for small := l.Open(); int64(small)*intake.SmallRequest < plan.SmallBytes; small++ {
		require.Equal(t, intake.Granted, reserve(receiving(t, l, at(2)), intake.SmallRequest, at(2)))
	}
	verdict, victim := receiving(t, l, at(3)).Reserve(2000, at(3))
	require.Equal(t, intake.Wait, verdict)
	require.Same(t, first, victim)
}

// Guards against a request that gives way although it may be running.
func TestCompleteRequestsStay(t *testing.T) {
	l := intake.NewTable(plan).NewListener(2)
	for range 2 {
		c := receiving(t, l, at(0))
		require.Equal(t, intake.Granted, reserve(c, 1<<20, at(0)))
		c.Complete(at(1))
	}
	_, _, ok := l.Accept(at(5000), time.Time{})
	require.False(t, ok)
}

// Guards against a lone request of legal size that is refused because it is larger than the part of the memory for bodies.
func TestALoneRequestIsGranted(t *testing.T) {
	l := intake.NewTable(plan).NewListener(10)
	c := receiving(t, l, at(0))
	require.Equal(t, intake.Granted, reserve(c, 3<<20, at(0)))
	require.Equal(t, intake.Granted, reserve(c, 3<<20, at(0)))
	require.Equal(t, intake.Refused, reserve(c, 1<<20, at(0)), "it has no bound of its own")
	require.Equal(t, intake.Refused, reserve(receiving(t, l, at(0)), 1<<20, at(0)))
	c.Release()
	require.Zero(t, c.Held())
}

// Guards against connections that are not accepted because idle or unfinished ones stay open, and against the wrong order in which these give way.
func TestConnectionsGiveWay(t *testing.T) {
	l := intake.NewTable(plan).NewListener(3)
	idle, _, _ := l.Accept(at(0), time.Time{})
	unfinished := receiving(t, l, at(1))
	later, _, _ := l.Accept(at(2), time.Time{})
	for n, want := range []*intake.Client{idle, unfinished} {
		c, victim, ok := l.Accept(at(3+n), time.Time{})
		require.True(t, ok)
		require.Same(t, want, victim)
		victim.Close()
		c.Begin(at(3+n), time.Time{})
		c.Complete(at(3 + n))
	}
	_, victim, ok := l.Accept(at(6), time.Time{})
	require.True(t, ok)
	require.Same(t, later, victim)
	_, _, ok = l.Accept(at(7), time.Time{})
	require.False(t, ok, "too many are being closed")
	later.Close()
	_, _, ok = l.Accept(at(8), time.Time{})
	require.True(t, ok)
}

// Guards against a phase without an end.
func TestPhasesEnd(t *testing.T) {
	table := intake.NewTable(plan)
	l := table.NewListener(10)
	c := receiving(t, l, at(0))
	c.Advance(at(1), at(500))
	require.Empty(t, table.Expired(at(500)))
	require.Equal(t, []*intake.Client{c}, table.Expired(at(501)))
	require.Empty(t, table.Expired(at(502)), "it gives way once")
}

// Guards against sums that drift, limits that are exceeded, and connections that give way while there is room, over arbitrary sequences.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := intake.NewTable(plan)
		l := table.NewListener(8)
		now := epoch
		var clients []*intake.Client
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(clients) == 0 || rapid.IntRange(0, 5).Draw(t, "accept") == 0 {
				if c, victim, ok := l.Accept(now, time.Time{}); ok {
					require.True(t, victim == nil || l.Open() > 8)
					clients = append(clients, c)
				}
				continue
			}
			n := rapid.IntRange(0, len(clients)-1).Draw(t, "client")
			c := clients[n]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				c.Begin(now, time.Time{})
			case 1:
				c.Received(rapid.IntRange(1, 40<<10).Draw(t, "bytes"), now)
			case 2:
				c.Complete(now)
			case 3:
				c.Rest(now, time.Time{})
			case 4:
				c.Close()
				c.Close()
				clients = append(clients[:n], clients[n+1:]...)
			default:
				before, held := c.Held(), int64(rapid.IntRange(1, 1<<20).Draw(t, "reserved"))
				if verdict, _ := c.Reserve(held, now); verdict == intake.Granted {
					require.Equal(t, before+held, c.Held())
				} else {
					require.Equal(t, before, c.Held())
				}
			}
			var sum int64
			for _, c := range clients {
				sum += c.Held()
			}
			small, large := table.Reserved()
			require.Equal(t, sum, small+large)
			require.LessOrEqual(t, small, plan.SmallBytes)
			if large > plan.LargeBytes {
				holders := 0
				for _, c := range clients {
					if c.Held() > intake.SmallRequest {
						holders++
					}
				}
				require.Equal(t, 1, holders, "only a lone request exceeds the limit")
			}
			require.Equal(t, len(clients), l.Open())
			require.LessOrEqual(t, l.Open(), 9)
		}
	})
}

// Guards against a plan whose parts exceed the memory or the descriptors.
func TestPlanFits(t *testing.T) {
	for _, memory := range []int64{64 << 20, 88 << 20, 134 << 20, 536 << 20} {
		p := intake.NewPlan(memory, 4100)
		const connection = 12 << 10
		sum := p.SmallBytes + p.LargeBytes + p.JobBytes + p.ItemBytes + p.OutputBytes + p.ResponseBytes + connection*int64(p.Connections[intake.Callers])
		require.Less(t, sum, memory*85/100)
		require.Less(t, p.CollectorBytes, memory*3/4)
		require.LessOrEqual(t, p.Connections[intake.Callers]+2*p.Connections[intake.Auxiliary]+2*p.Connections[intake.Monitoring], (4100-200)*7/8)
		require.Greater(t, p.Connections[intake.Callers], 300)
	}
	require.Positive(t, intake.NewPlan(0, 0).Connections[intake.Monitoring])
	require.Positive(t, intake.NewPlan(1, 1).Connections[intake.Monitoring])
}
