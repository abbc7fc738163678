package engine_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/core/stream"
)

const (
	maxEvent        = 64 << 10
	progressTimeout = time.Second
)

// collect reads events until something other than an event in order comes. A connection without progress is closed.
func collect(body *engine.Events) (data []string, last stream.Verdict, err error) {
	for {
		stalled := time.AfterFunc(progressTimeout, body.Abort)
		e, verdict, err := body.Next()
		stalled.Stop()
		if err != nil || verdict != stream.InOrder {
			return data, verdict, err
		}
		data = append(data, string(e.Data))
	}
}

func (b bench) start(t *testing.T, tracker *stream.Tracker, r engine.Request) *engine.Events {
	a, err := b.client.Start(b.ctx, address, r)
	require.NoError(t, err)
	return engine.NewEvents(a.Body, stream.NewDecoder(maxEvent), tracker)
}

func (b bench) resume(t *testing.T, tracker *stream.Tracker, id string, from int64) *engine.Events {
	a, err := b.client.Resume(b.ctx, address, id, from)
	require.NoError(t, err)
	return engine.NewEvents(a.Body, stream.NewDecoder(maxEvent), tracker)
}

func TestBrokenStreamResumesWithoutHoleOrRepeat(t *testing.T) {
	// Guards against lost or doubled tokens when a connection goes silent, is reset or ends early, and against a second run.
	const id, tokens = "r1", 40
	faults := map[string]func(bench){
		"a silent connection": func(b bench) { b.network.Silence(address) },
		"a reset connection":  func(b bench) { b.network.Cut(address) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, options(), func(t *testing.T, b bench) {
				tracker := stream.NewTracker(id)
				events := b.start(t, tracker, engine.Request{ID: id, Body: chat("which fuse", tokens, true)})
				time.AfterFunc(120*time.Millisecond, func() { fault(b) })
				head, _, err := collect(events)
				require.ErrorIs(t, err, engine.ErrBroken)
				require.NotEmpty(t, head)
				require.Less(t, len(head), tokens)

				overlap := tracker.Next() - 2 // the engine sends two events again
				tail, verdict, err := collect(b.resume(t, tracker, id, overlap))
				require.NoError(t, err)
				require.Equal(t, stream.End, verdict)
				whole, _, _ := collect(b.resume(t, stream.NewTracker(id), id, 0))
				require.Len(t, whole, tokens+1)
				require.Equal(t, whole, append(head, tail...))
				require.Equal(t, 1, b.engine.Runs(id))
			})
		})
	}
}

func TestTruncatedStreamIsNoEnd(t *testing.T) {
	// Guards against taking a connection that ends normally for the end of the answer.
	run(t, options(), func(t *testing.T, b bench) {
		b.engine.EndEarly("r1", 3)
		data, _, err := collect(b.start(t, stream.NewTracker("r1"), engine.Request{ID: "r1", Body: chat("x", 10, true)}))
		require.Len(t, data, 3)
		require.ErrorIs(t, err, engine.ErrBroken)
		require.ErrorIs(t, err, stream.ErrTruncated)
	})
}

func TestCrossedStreamIsDetected(t *testing.T) {
	// Guards against giving a caller the tokens of another caller.
	run(t, options(), func(t *testing.T, b bench) {
		b.engine.Cross("r1", "r2")
		b.start(t, stream.NewTracker("r2"), engine.Request{ID: "r2", Body: chat("the other", 10, true)})
		data, verdict, err := collect(b.start(t, stream.NewTracker("r1"), engine.Request{ID: "r1", Body: chat("mine", 10, true)}))
		require.NoError(t, err)
		require.Equal(t, stream.Foreign, verdict)
		require.Len(t, data, 1)
	})
}

func TestGapIsDetected(t *testing.T) {
	// Guards against a hole when an engine resumes from a later position than asked for.
	run(t, options(), func(t *testing.T, b bench) {
		b.start(t, stream.NewTracker("r1"), engine.Request{ID: "r1", Body: chat("x", 10, true)})
		tracker := stream.NewTracker("r1")
		_, verdict, err := collect(b.resume(t, tracker, "r1", 4))
		require.NoError(t, err)
		require.Equal(t, stream.Gap, verdict)
		require.Zero(t, tracker.Next())
	})
}

func TestOversizedEventEndsTheConnection(t *testing.T) {
	// Guards against an endless loop over a full buffer.
	run(t, options(), func(t *testing.T, b bench) {
		a, err := b.client.Start(b.ctx, address, engine.Request{ID: "r1", Body: chat("x", 10, true)})
		require.NoError(t, err)
		_, _, err = collect(engine.NewEvents(a.Body, stream.NewDecoder(64), stream.NewTracker("r1")))
		require.ErrorIs(t, err, stream.ErrEventTooLarge)
		require.False(t, errors.Is(err, engine.ErrBroken))
	})
}

func TestCancelledRunFreesItsPlace(t *testing.T) {
	// Guards against a cancelled job that keeps the accelerator busy, and against its stream ending like a finished one.
	o := options()
	o.MaxRunning = 1
	run(t, o, func(t *testing.T, b bench) {
		long := b.start(t, stream.NewTracker("long"), engine.Request{ID: "long", Body: chat("x", 10000, true)})
		next := b.start(t, stream.NewTracker("next"), engine.Request{ID: "next", Body: chat("y", 2, true)})
		require.NoError(t, b.client.Cancel(b.ctx, address, "long"))
		_, verdict, err := collect(next)
		require.NoError(t, err)
		require.Equal(t, stream.End, verdict)
		_, _, err = collect(long)
		require.ErrorIs(t, err, engine.ErrBroken)
		require.NotErrorIs(t, err, stream.ErrTruncated) // the connection breaks off instead of ending
		require.Equal(t, 1, b.engine.Cancelled())
		_, err = b.client.Resume(b.ctx, address, "long", 0)
		require.ErrorIs(t, err, engine.ErrUnknownStream)
	})
}

func TestEndedStreamLeavesItsConnectionForTheNext(t *testing.T) {
	// Guards against one new connection for each stream, and against waiting for the rest of a body on a silent connection.
	run(t, options(), func(t *testing.T, b bench) {
		for _, id := range []string{"r1", "r2"} {
			events := b.start(t, stream.NewTracker(id), engine.Request{ID: id, Body: chat("x", 3, true)})
			_, verdict, err := collect(events)
			require.NoError(t, err)
			require.Equal(t, stream.End, verdict)
			events.Close()
		}
		require.Equal(t, 1, b.network.Dials(address))

		reader, writer := io.Pipe()
		go func() { _, _ = writer.Write(stream.AppendEvent(nil, "r3", 0, []byte(stream.Done))) }()
		events := engine.NewEvents(reader, stream.NewDecoder(maxEvent), stream.NewTracker("r3"))
		_, _, err := collect(events)
		require.NoError(t, err)
		start := time.Now()
		events.Close()
		require.Equal(t, 50*time.Millisecond, time.Since(start))
	})
}

func TestKnownRequestIDRunsAgainUnlessDeduplicated(t *testing.T) {
	// Guards against a stand-in that hides a client's second run of a request, and against streams that are kept forever.
	for _, dedupe := range []bool{false, true} {
		o := options()
		o.DedupeRequestIDs = dedupe
		run(t, o, func(t *testing.T, b bench) {
			var answers [2][]string
			for i := range answers {
				answers[i], _, _ = collect(b.start(t, stream.NewTracker("r1"), engine.Request{ID: "r1", Body: chat("x", 3, true)}))
			}
			require.Len(t, answers[0], 4)
			require.Equal(t, answers[0][:3], answers[1][:3])
			require.Equal(t, map[bool]int{false: 2, true: 1}[dedupe], b.engine.Runs("r1"))
			require.Equal(t, map[bool]int{false: 6, true: 3}[dedupe], b.engine.Tokens())
			time.Sleep(o.StreamRetention + time.Second)
			_, err := b.client.Resume(b.ctx, address, "r1", 0)
			require.ErrorIs(t, err, engine.ErrUnknownStream)
		})
	}
}
