package bulk

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"k8s.io/klog/v2"
)

// Repair restores the second copy of a blob. A holder is replaced when it has been dead or missing from the membership table for the
// repair delay, or when it responds that it lacks the blob; an alive holder that lacks the blob is preferred for the new copy. All
// repairs share one limit of bytes per second. Repair returns the reference to record and reports whether its holders differ from ref's.
// Errors: ErrNotFound and ErrUnavailable when no copy can be read, ErrInvalid for a malformed reference, ErrNoHolders when no disk
// stores the new copy. ref stays valid after an error.
func (s *Store) Repair(ctx context.Context, ref batch.BlobRef) (batch.BlobRef, bool, error) {
	kept := s.keptHolders(ctx, ref)
	if len(kept) >= copies {
		return ref, false, nil
	}
	content, err := s.copyOf(ctx, ref)
	if err != nil {
		return ref, false, err
	}
	added, err := s.place(ctx, blob{digest: ref.Digest, content: content}, s.replacements(ref, kept), s.domainsOf(kept), copies-len(kept))
	if err != nil {
		return ref, false, err
	}
	repaired := ref
	repaired.Holders = append(kept, added...)
	klog.InfoS("Blob repaired", "digest", ref.Digest, "bytes", ref.Bytes, "from", ref.Holders, "to", repaired.Holders)
	return repaired, !sameHolders(ref.Holders, repaired.Holders), nil
}

// Replaceable returns the holders that have been dead or missing from the membership table for the repair delay, counted from the first
// call of Replaceable or Repair that found them absent.
func (s *Store) Replaceable(holders []fleet.InstanceID) []fleet.InstanceID {
	present := s.present()
	now := time.Now()
	var gone []fleet.InstanceID
	for _, id := range holders {
		if _, here := present[id]; here || slices.Contains(gone, id) {
			continue
		}
		if s.absence.duration(id, present, now) >= s.config.RepairDelay {
			gone = append(gone, id)
		}
	}
	return gone
}

// present returns the members that are not dead.
func (s *Store) present() map[fleet.InstanceID]fleet.Member {
	present := make(map[fleet.InstanceID]fleet.Member)
	for _, m := range s.config.Board.Members.All() {
		if m.State != fleet.MemberDead {
			present[m.ID] = m
		}
	}
	return present
}

// copyOf reads the blob after waiting until the rate limit of repairs allows for its size.
func (s *Store) copyOf(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	for left := int(ref.Bytes); left > 0; left -= s.repairs.Burst() {
		if err := s.repairs.WaitN(ctx, min(left, s.repairs.Burst())); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	return s.Get(ctx, ref)
}

// keptHolders returns the holders whose copies need no replacement: those that have the blob or may still have it.
func (s *Store) keptHolders(ctx context.Context, ref batch.BlobRef) []fleet.InstanceID {
	present := s.present()
	now := time.Now()
	kept := []fleet.InstanceID{}
	for _, id := range ref.Holders {
		gone := s.absence.duration(id, present, now)
		member, here := present[id]
		switch {
		case here && s.lacks(ctx, member, ref):
		case !here && gone >= s.config.RepairDelay:
		default:
			kept = append(kept, id)
		}
	}
	return kept
}

// lacks reports whether the holder is certain not to have the blob in its full size. It returns false for an unreachable holder, which
// may still have its copy; the failure detector decides whether that holder is dead.
func (s *Store) lacks(ctx context.Context, m fleet.Member, ref batch.BlobRef) bool {
	bytes, err := s.sizeAt(ctx, m, ref.Digest)
	if err != nil {
		return errors.Is(err, peer.ErrNotFound)
	}
	return bytes != ref.Bytes
}

// sizeAt returns the size of the instance's copy of the blob in bytes, or peer.ErrNotFound if it has none.
func (s *Store) sizeAt(ctx context.Context, m fleet.Member, digest string) (int64, error) {
	if m.ID != s.config.Self {
		return s.config.Peers.BlobInfo(ctx, m.PeerAddress, digest)
	}
	if s.config.Disk == nil {
		return 0, peer.ErrNotFound
	}
	info, err := s.config.Disk.Stat(digest)
	return info.Bytes, peerError(err)
}

// replacements returns the candidates for a new copy: first the former holders that lack the blob, then the other instances. Within each
// group, those in the region of a kept copy come first.
func (s *Store) replacements(ref batch.BlobRef, kept []fleet.InstanceID) []fleet.Member {
	near := s.config.FailureDomain
	if domains := s.domainsOf(kept); len(domains) > 0 {
		near = domains[0]
	}
	candidates := slices.DeleteFunc(s.candidates(ref.Digest, near), func(m fleet.Member) bool { return slices.Contains(kept, m.ID) })
	formerRank := func(m fleet.Member) int {
		if slices.Contains(ref.Holders, m.ID) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(candidates, func(a, b fleet.Member) int { return formerRank(a) - formerRank(b) })
	return candidates
}

// domainsOf returns the failure domains of those instances that are in the membership table.
func (s *Store) domainsOf(ids []fleet.InstanceID) []fleet.FailureDomain {
	domains := []fleet.FailureDomain{}
	for _, id := range ids {
		if m, ok := s.config.Board.Members.Get(id); ok {
			domains = append(domains, m.FailureDomain)
		}
	}
	return domains
}

// sameHolders reports whether both lists contain the same holders in any order.
func sameHolders(a, b []fleet.InstanceID) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
