package bulk

import (
	"context"
	"errors"
	"slices"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Get returns the content of a blob, checked against its digest: from this instance's disk, else from the nearest holder, else from
// the other one, else from any other disk. Errors: ErrNotFound, ErrUnavailable, ErrInvalid.
func (s *Store) Get(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	if !disk.ValidDigest(ref.Digest) || ref.Bytes < 0 || ref.Bytes > MaxBlobBytes {
		return nil, eris.Wrapf(ErrInvalid, "reference to %q of %d bytes", ref.Digest, ref.Bytes)
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

// local reads this instance's disk. A corrupt file is dropped by the disk.
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

// remote reads the first intact copy of another instance.
func (s *Store) remote(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	sources := s.sources(ref.Digest, ref.Holders)
	missing := s.absentHolders(ref.Holders, sources)
	for _, source := range sources {
		if ctx.Err() != nil {
			return nil, eris.Wrap(ErrUnavailable, ctx.Err().Error())
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
		return nil, eris.Wrapf(ErrUnavailable, "%s; no usable response from %v", ref.Digest, missing)
	}
	return nil, eris.Wrap(ErrNotFound, ref.Digest)
}

// absentHolders returns the holders of a reference that cannot be asked and may come back with their copy.
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

// restoreLocal writes the copy that this instance should have and lost. A failure is left to Repair.
func (s *Store) restoreLocal(ref batch.BlobRef, content []byte) {
	if s.config.Disk == nil || !slices.Contains(ref.Holders, s.config.Self) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peer.BlobTimeout(ref.Bytes))
	defer cancel()
	if err := s.writeLocal(ctx, blob{digest: ref.Digest, content: content}); err != nil {
		klog.ErrorS(err, "Lost copy of a blob cannot be restored", "digest", ref.Digest)
	}
}
