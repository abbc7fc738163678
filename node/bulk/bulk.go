// Package bulk keeps blobs on the disks of two instances in different failure domains, finds them again, and restores the second
// copy when one is lost.
package bulk

import (
	"context"
	"time"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// MaxBlobBytes is the largest blob.
const MaxBlobBytes = min(disk.MaxBlobBytes, peer.MaxBlobBytes)

const (
	// copies is the number of holders of a blob, each in its own failure domain.
	copies = 2
	// putAttempts is the number of transfers in a row, each to a holder that does not answer, that fit into one Put.
	putAttempts = 3

	defaultRepairDelay = 2 * time.Minute
	// defaultRepairBytesPerSecond is a third of a region link of 25 Mbit/s, the worst case of a repair between regions.
	defaultRepairBytesPerSecond = 1 << 20
)

// Peers are the calls to other instances; peer.Client implements it.
type Peers interface {
	PutBlob(ctx context.Context, address, digest string, content []byte) error
	GetBlob(ctx context.Context, address, digest string, bytes int64) ([]byte, error)
	BlobInfo(ctx context.Context, address, digest string) (bytes int64, err error)
}

// Config holds the parts and settings of a Store.
type Config struct {
	Self          fleet.InstanceID
	FailureDomain fleet.FailureDomain
	Board         *blackboard.Board
	Topology      func() fleet.Topology // nil means that of the bundle in force
	Disk          *disk.Store           // nil on an instance without a disk
	Peers         Peers

	RepairDelay          time.Duration // time for which a holder must be gone before its copy is replaced; 0 means 2 minutes
	RepairBytesPerSecond int           // 0 means 1 MiB/s
}

// Store reads and writes blobs. It is safe for concurrent use.
type Store struct {
	config  Config
	absence *absence
	repairs *rate.Limiter // bytes
}

var _ Peers = (*peer.Client)(nil)

// New returns a store.
func New(config Config) *Store {
	if config.Topology == nil {
		config.Topology = topologyOf(config.Board)
	}
	if config.RepairDelay == 0 {
		config.RepairDelay = defaultRepairDelay
	}
	if config.RepairBytesPerSecond == 0 {
		config.RepairBytesPerSecond = defaultRepairBytesPerSecond
	}
	limit := config.RepairBytesPerSecond
	return &Store{config: config, absence: newAbsence(), repairs: rate.NewLimiter(rate.Limit(limit), limit)}
}

func topologyOf(board *blackboard.Board) func() fleet.Topology {
	return func() fleet.Topology {
		if active := board.Bundle.Current(); active != nil {
			return active.Topology()
		}
		return fleet.Topology{}
	}
}

// Put stores the data on the disks of two instances in different failure domains, in this instance's region if that has two with
// disk holders. It returns only after both acknowledged, or ErrNoHolders; some holder may have a copy then, which is collected later.
// data is not read after the return.
func (s *Store) Put(ctx context.Context, data []byte) (batch.BlobRef, error) {
	if len(data) > MaxBlobBytes {
		return batch.BlobRef{}, eris.Wrapf(ErrInvalid, "%d bytes, the limit is %d", len(data), MaxBlobBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, putAttempts*peer.BlobTimeout(int64(len(data))))
	defer cancel()
	ref := batch.BlobRef{Digest: disk.Digest(data), Bytes: int64(len(data))}
	holders, err := s.place(ctx, blob{digest: ref.Digest, content: data}, s.candidates(ref.Digest, s.config.FailureDomain), nil, copies)
	if err != nil {
		return batch.BlobRef{}, err
	}
	ref.Holders = holders
	return ref, nil
}
