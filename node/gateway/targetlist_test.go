package gateway_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/kvmirror"
)

// logBuffer keeps log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all lines.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// captureLog keeps the lines that are logged until the end of the test.
func captureLog(t *testing.T) *logBuffer {
	captured := &logBuffer{}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", captured) // gets the lines of all severities
	t.Cleanup(func() {
		klog.SetOutput(os.Stderr)
		klog.LogToStderr(true)
	})
	return captured
}

// Guards against logs that one odd entry fills, since its writer changes it as often as others do, and against the loss of other targets.
func TestOddEntryIsLoggedOnceAndRemovesOnlyItsTarget(t *testing.T) {
	log := captureLog(t)
	board := gateway.NewBoard(slots.NewView("i1", "a", fleet.Topology{}, slots.DefaultPolicy()))
	list := gateway.NewTargetList(board, "t/", func(key string, value []byte) (slots.Target, error) {
		if len(value) != 2 {
			return slots.Target{}, errors.New("odd entry " + string(value))
		}
		target := slots.Target{Slots: 8}
		target.ID, target.Service, target.State = fleet.TargetID(key[len("t/"):]), "s", fleet.TargetLive
		return target, nil
	})
	revision := kv.Revision(0)
	write := func(key, value string) {
		revision++
		list.Apply(kvmirror.Change{Put: []kv.KeyValue{{Key: key, Value: []byte(value), ModRevision: revision}}})
	}
	lines := func() int { return strings.Count(log.String(), "Entry of the target list skipped") }
	write("t/a", "ok")
	write("t/b", "ok")
	require.Equal(t, 16, board.Slots())
	for range 50 {
		write("t/a", "x")
	}
	require.Equal(t, 8, board.Slots())
	require.Equal(t, 1, lines())
	write("t/a", "yyy")
	require.Equal(t, 2, lines(), "another reason")
	write("t/a", "ok")
	require.Equal(t, 16, board.Slots())
	write("t/a", "x")
	require.Equal(t, 3, lines(), "after it was good")
	before := len(log.String())
	write("t/c", strings.Repeat("x", 1<<20))
	require.Less(t, len(log.String())-before, 1<<10, "bytes of the value of another writer")
	for n := range 1000 {
		write(fmt.Sprintf("t/odd%d", n), "x")
	}
	require.LessOrEqual(t, lines(), 200)
}

// Guards against lists that differ for ever between builds, whose instances would then read the whole list from each other all the time.
func TestDigestOfPlacementIsThatOfEarlierBuilds(t *testing.T) {
	digests := func(started int64, slotsOfTarget int) gateway.TargetDigests {
		board := gateway.NewBoard(slots.NewView("i1", "a", fleet.Topology{}, slots.DefaultPolicy()))
		list := gateway.NewTargetList(board, "t/", func(string, []byte) (slots.Target, error) {
			target := slots.Target{Slots: slotsOfTarget, Started: started}
			target.ID, target.Service, target.Address, target.FailureDomain, target.State = "t1", "s", "10.8.0.1:80", "a", fleet.TargetLive
			return target, nil
		})
		list.Apply(kvmirror.Change{Put: []kv.KeyValue{{Key: "t/t1", ModRevision: 1}}})
		return list.Digests()
	}
	first, restarted, larger := digests(1, 8), digests(2, 8), digests(1, 9)
	require.Equal(t, uint64(0xd7f678f8465e7b5), first.Placement, "of a target without the fields Started and Version")
	require.Equal(t, first.Placement, restarted.Placement)
	require.NotEqual(t, first.Registrations, restarted.Registrations, "it may end the departure of a target")
	require.NotEqual(t, first.Placement, larger.Placement)
}
