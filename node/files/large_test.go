package files

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/bulk"
)

const peerToken = "token"

// twoHolders returns a bulk store with the disk of this instance and that of another instance, which serves on a loopback listener,
// and the folders of both disks.
func twoHolders(t testing.TB) (store *bulk.Store, folders [2]string) {
	folders = [2]string{t.TempDir(), t.TempDir()}
	disks := [2]*disk.Store{}
	for i := range disks {
		var err error
		disks[i], err = disk.Open(folders[i], disk.Options{})
		require.NoError(t, err)
	}
	handler, err := peer.NewHandler(peer.Handlers{
		Probe:         func(_ context.Context, p membership.Probe) membership.Probe { return p },
		ProbeIndirect: func(context.Context, fleet.InstanceID, string) peer.IndirectResult { return peer.IndirectResult{} },
		Manifest:      func() (bundle.SignedManifest, bool) { return bundle.SignedManifest{}, false },
		Section:       func(string) ([]byte, bool) { return nil, false },
		Delta:         func(fleet.Generation) (bundle.Delta, bool) { return bundle.Delta{}, false },
		Decisions:     func(fleet.RequestID) []string { return nil },
		Blobs:         bulk.Handlers(disks[1]),
	}, [][sha256.Size]byte{sha256.Sum256([]byte(peerToken))})
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := peer.NewClient(peerToken, peer.NewMeter(tally.NoopScope))
	require.NoError(t, err)
	t.Cleanup(client.Close)
	board := blackboard.New()
	board.Members.Replace([]fleet.Member{
		{ID: "i1", FailureDomain: "a1", HasDisk: true},
		{ID: "i2", FailureDomain: "a2", HasDisk: true, PeerAddress: server.Listener.Addr().String()},
	})
	topology := fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{"a1": "a", "a2": "a"}}
	return bulk.New(bulk.Config{
		Self: "i1", FailureDomain: "a1", Board: board, Topology: func() fleet.Topology { return topology }, Disk: disks[0], Peers: client,
	}), folders
}

// generatedFile is a reader of a file with the largest number of lines, which generates each line when it is read.
type generatedFile struct {
	next   int          // index of the next line
	line   bytes.Buffer // unread rest of the current line
	prompt string
	probe  func(line int) // called before each line
}

const phrase = "a brass lamp with a cracked ceramic socket " // 43 bytes

func (g *generatedFile) Read(p []byte) (int, error) {
	if g.line.Len() == 0 {
		if g.next == files.MaxLines {
			return 0, io.EOF
		}
		g.probe(g.next)
		fmt.Fprintf(&g.line, `{"custom_id":"ticket-%d","method":"POST","url":"/v1/completions","body":{"model":"bench-assist","prompt":"%s"}}`+"\n", g.next, g.prompt)
		g.next++
	}
	return g.line.Read(p)
}

// liveBytes returns the number of heap bytes in use after a garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against uploads whose memory grows with the file, and against a large file that is lost with one disk.
func TestTheLargestUploadTakesLittleMemoryAndSurvivesALostDisk(t *testing.T) {
	const (
		maxLiveBytes = 12 << 20 // a chunk, the buffers of two transfers and 140,000 digests of custom_ids
		probeEvery   = 10_000   // lines
		phrases      = 6        // in a line; more would make the test slow, as a line of 20 takes a quarter of a millisecond under the race detector
	)
	store, folders := twoHolders(t)
	s := New(newStore(), store, Options{})
	before, peak := liveBytes(), uint64(0)
	source := &generatedFile{prompt: strings.Repeat(phrase, phrases), probe: func(line int) {
		if line%probeEvery == 0 {
			peak = max(peak, liveBytes())
		}
	}}
	sum := sha256.New()
	start := time.Now()
	record, err := s.Upload(t.Context(), "c", io.TeeReader(source, sum))
	require.NoError(t, err)
	peak -= min(peak, before)
	t.Logf("%d lines, %d bytes, %.0f lines/s, at most %d bytes live", record.Lines, record.Bytes,
		float64(record.Lines)/time.Since(start).Seconds(), peak)
	assert.Equal(t, files.MaxLines, record.Lines)
	assert.Greater(t, record.Bytes, int64(4*maxLiveBytes))
	assert.Less(t, peak, uint64(maxLiveBytes))

	require.NoError(t, os.RemoveAll(folders[0]))
	content := sha256.New()
	require.NoError(t, s.Content(t.Context(), "c", record.ID, content))
	assert.Equal(t, sum.Sum(nil), content.Sum(nil))
}

// BenchmarkUpload measures uploads of the largest file with lines of 1 KB, in lines per second. Both copies are synced to a disk.
func BenchmarkUpload(b *testing.B) {
	store, _ := twoHolders(b)
	for b.Loop() {
		s := New(newStore(), store, Options{})
		_, err := s.Upload(b.Context(), "c", &generatedFile{prompt: strings.Repeat(phrase, 20), probe: func(int) {}})
		require.NoError(b, err)
	}
	b.ReportMetric(float64(b.N*files.MaxLines)/b.Elapsed().Seconds(), "lines/s")
}
