// Package bulk stores each blob on the disks of two instances in different failure domains, reads blobs back, and restores the second
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

// MaxBlobBytes is the maximum size of a blob.
const MaxBlobBytes = min(disk.MaxBlobBytes, peer.MaxBlobBytes)

const (
	// copies is the number of holders of a blob, each in its own failure domain.
	copies = 2

	defaultRepairDelay = 2 * time.Minute
	// defaultRepairBytesPerSecond uses a third of a link of 25 Mbit/s between regions, the worst case for a repair.
	defaultRepairBytesPerSecond = 1 << 20
)

// Peers makes the blob calls to other instances. peer.Client implements it.
type Peers interface {
	PutBlob(ctx context.Context, address, digest string, content []byte) error
	GetBlob(ctx context.Context, address, digest string, bytes int64) ([]byte, error)
	BlobInfo(ctx context.Context, address, digest string) (bytes int64, err error)
}

// Config holds the dependencies and settings of a Store.
type Config struct {
	Self          fleet.InstanceID
	FailureDomain fleet.FailureDomain
	Board         *blackboard.Board
	Topology      func() fleet.Topology // nil means the topology of the bundle in force
	Disk          *disk.Store           // nil on an instance without a disk
	Peers         Peers

	RepairDelay          time.Duration // how long a holder must be dead or missing from the membership table before its copy is replaced; 0 means 2 minutes
	RepairBytesPerSecond int           // 0 means 1 MiB/s
}

// Store reads and writes blobs. It is safe for concurrent use.
type Store struct {
	config  Config
	absence *absence
	repairs *rate.Limiter // bytes per second read for repairs
}

var _ Peers = (*peer.Client)(nil)

// New returns a store. It applies the defaults that Config documents.
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

// Put stores the data on the disks of two instances in different failure domains. Both are in this instance's region if two of its
// failure domains have disk holders that can store the blob. Put returns a reference only after both holders acknowledged the blob.
// Errors: ErrInvalid if the data exceeds MaxBlobBytes, ErrNoHolders if fewer than two holders stored it; a single copy may remain then
// and is collected later. Put does not read data after it has returned.
func (s *Store) Put(ctx context.Context, data []byte) (batch.BlobRef, error) {
	if len(data) > MaxBlobBytes {
		return batch.BlobRef{}, eris.Wrapf(ErrInvalid, "blob has %d bytes, the limit is %d", len(data), MaxBlobBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, peer.PutBlobTimeout(int64(len(data))))
	defer cancel()
	ref := batch.BlobRef{Digest: disk.Digest(data), Bytes: int64(len(data))}
	holders, err := s.place(ctx, blob{digest: ref.Digest, content: data}, s.candidates(ref.Digest, s.config.FailureDomain), nil, copies)
	if err != nil {
		return batch.BlobRef{}, err
	}
	ref.Holders = holders
	return ref, nil
}
