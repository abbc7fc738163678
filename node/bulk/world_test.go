package bulk

import (
	"bytes"
	"context"
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
)

// world is a set of instances with disks. It implements Peers in place of the network: calls go to the real handlers of the other
// instance's disk unless that instance is lost or silent.
type world struct {
	t       *testing.T
	board   *blackboard.Board
	members []fleet.Member
	folders map[fleet.InstanceID]string
	disks   map[fleet.InstanceID]*disk.Store
	lost    map[fleet.InstanceID]bool // calls to it fail at once as unreachable
	silent  map[fleet.InstanceID]bool // calls to it time out
	garbled map[fleet.InstanceID]bool // its responses are corrupted in transit
}

var topology = fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{
	"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c",
}}

// newWorld starts one instance with a disk for each name; the name without its last letter is the failure domain.
func newWorld(t *testing.T, names ...fleet.InstanceID) *world {
	w := &world{
		t: t, board: blackboard.New(), folders: map[fleet.InstanceID]string{}, disks: map[fleet.InstanceID]*disk.Store{},
		lost: map[fleet.InstanceID]bool{}, silent: map[fleet.InstanceID]bool{},
		garbled: map[fleet.InstanceID]bool{},
	}
	for _, name := range names {
		w.folders[name] = t.TempDir()
		w.open(name, disk.Options{})
		domain := fleet.FailureDomain(name[:len(name)-1])
		w.members = append(w.members, fleet.Member{ID: name, PeerAddress: string(name), FailureDomain: domain, HasDisk: true})
	}
	w.board.Members.Replace(w.members)
	return w
}

func (w *world) open(id fleet.InstanceID, o disk.Options) {
	d, err := disk.Open(w.folders[id], o)
	require.NoError(w.t, err)
	w.disks[id] = d
}

func (w *world) store(self fleet.InstanceID) *Store {
	return New(Config{
		Self: self, FailureDomain: fleet.FailureDomain(self[:len(self)-1]), Board: w.board,
		Topology: func() fleet.Topology { return topology }, Disk: w.disks[self], Peers: w,
	})
}

// setState sets the state of an instance in the membership table.
func (w *world) setState(id fleet.InstanceID, state fleet.MemberState) {
	members := append([]fleet.Member{}, w.members...)
	for i := range members {
		if members[i].ID == id {
			members[i].State = state
		}
	}
	w.members = members
	w.board.Members.Replace(members)
}

// handlersOf returns the blob handlers of the instance with the address, or the error of a call to an instance that cannot respond.
func (w *world) handlersOf(ctx context.Context, address string) (peer.BlobHandlers, error) {
	id := fleet.InstanceID(address)
	if w.silent[id] {
		ctx, cancel := context.WithTimeout(ctx, peer.FetchTimeout)
		defer cancel()
		<-ctx.Done()
		return peer.BlobHandlers{}, peer.ErrTimeout
	}
	if w.lost[id] {
		return peer.BlobHandlers{}, peer.ErrUnreachable
	}
	if w.disks[id] == nil {
		return peer.BlobHandlers{}, peer.ErrNotFound
	}
	return Handlers(w.disks[id]), nil
}

func (w *world) PutBlob(ctx context.Context, address, digest string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, peer.PutBlobTimeout(int64(len(content))))
	defer cancel()
	if w.silent[fleet.InstanceID(address)] {
		<-ctx.Done()
		return peer.ErrTimeout
	}
	h, err := w.handlersOf(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- h.Put(ctx, digest, bytes.NewReader(content)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

func (w *world) GetBlob(ctx context.Context, address, digest string, size int64) ([]byte, error) {
	h, err := w.handlersOf(ctx, address)
	if err != nil {
		return nil, err
	}
	content, err := h.Get(ctx, digest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = content.(io.Closer).Close() }()
	if w.garbled[fleet.InstanceID(address)] {
		return make([]byte, size), nil
	}
	return io.ReadAll(io.LimitReader(content, size))
}

func (w *world) BlobInfo(ctx context.Context, address, digest string) (int64, error) {
	h, err := w.handlersOf(ctx, address)
	if err != nil {
		return 0, err
	}
	return h.Info(ctx, digest)
}

// file returns the path of a blob at an instance.
func (w *world) file(id fleet.InstanceID, digest string) string {
	return filepath.Join(w.folders[id], digest[:2], digest[2:4], digest)
}

var data = bytes.Repeat([]byte(`{"custom_id":"1"}`+"\n"), 1000)

func put(t *testing.T, s *Store) batch.BlobRef {
	t.Helper()
	ref, err := s.Put(t.Context(), data)
	require.NoError(t, err)
	require.Len(t, ref.Holders, 2)
	return ref
}

// slowFS is a file system whose syncs of files take a time.
type slowFS struct {
	disk.OS
	sync time.Duration
}

type slowFile struct {
	disk.File
	sync time.Duration
}

func (f slowFS) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return slowFile{file, f.sync}, err
}

func (f slowFile) Sync() error {
	time.Sleep(f.sync)
	return f.File.Sync()
}
