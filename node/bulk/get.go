package bulk

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Get returns the content of a blob after checking it against its digest. It tries this instance's disk, then the holders in the order
// of their distance, then every other disk. Errors: ErrNotFound, ErrUnavailable, ErrInvalid.
func (s *Store) Get(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	if !disk.ValidDigest(ref.Digest) || ref.Bytes < 0 || ref.Bytes > MaxBlobBytes {
		return nil, eris.Wrapf(ErrInvalid, "reference to blob %q of %d bytes", ref.Digest, ref.Bytes)
	}
	if content, ok := s.local(ref.Digest); ok {
		return content, nil
	}
	content, err := s.remote(ctx, ref)
	if err != nil {
		return nil, err
	}
	s.restoreLocal(ref, content)
	return content, nil
}

// local reads the blob from this instance's disk and reports whether that succeeded. The disk removes a corrupt file.
func (s *Store) local(digest string) ([]byte, bool) {
	if s.config.Disk == nil {
		return nil, false
	}
	content, err := s.config.Disk.Get(digest)
	if err != nil && !errors.Is(err, disk.ErrNotFound) {
		klog.ErrorS(err, "Blob cannot be read from the local disk", "digest", digest)
	}
	return content, err == nil
}

// remote returns the first intact copy that another instance has.
func (s *Store) remote(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	sources := s.sources(ref.Digest, ref.Holders)
	missing := s.absentHolders(ref.Holders, sources)
	for _, source := range sources {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, ctx.Err())
		}
		content, err := s.fetch(ctx, source, ref)
		if err == nil {
			return content, nil
		}
		if !errors.Is(err, peer.ErrNotFound) {
			missing = append(missing, source.ID)
		}
	}
	if len(missing) > 0 {
		return nil, eris.Wrapf(ErrUnavailable, "blob %s: no usable response from %v", ref.Digest, missing)
	}
	return nil, fmt.Errorf("%w: %s", ErrNotFound, ref.Digest)
}

// absentHolders returns the holders that are not among the sources; they may return later with their copy.
func (s *Store) absentHolders(holders []fleet.InstanceID, sources []fleet.Member) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(holders), func(id fleet.InstanceID) bool {
		return id == s.config.Self || slices.ContainsFunc(sources, func(m fleet.Member) bool { return m.ID == id })
	})
}

func (s *Store) fetch(ctx context.Context, from fleet.Member, ref batch.BlobRef) ([]byte, error) {
	content, err := s.config.Peers.GetBlob(ctx, from.PeerAddress, ref.Digest, ref.Bytes)
	if err != nil {
		return nil, err
	}
	if disk.Digest(content) != ref.Digest {
		return nil, eris.Wrapf(peer.ErrDigest, "blob %s from instance %s", ref.Digest, from.ID)
	}
	return content, nil
}

// restoreLocal writes the blob back to the local disk if this instance is one of its holders and lost its copy. A failure is only
// logged; Repair restores the copy later.
func (s *Store) restoreLocal(ref batch.BlobRef, content []byte) {
	if s.config.Disk == nil || !slices.Contains(ref.Holders, s.config.Self) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peer.BlobTimeout(ref.Bytes))
	defer cancel()
	if err := s.writeLocal(ctx, blob{digest: ref.Digest, content: content}); err != nil {
		klog.ErrorS(err, "Lost copy of a blob could not be restored", "digest", ref.Digest)
	}
}
