package bulk

import (
	"context"
	"errors"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Repair restores the second copy of a blob. A holder is replaced when it has been dead or unknown for the repair delay, or when it
// answers that it lacks the blob; a holder that lacks it and is alive is the first choice for the new copy. The bytes copied by all
// repairs are limited per second. It returns the reference to record, and whether it differs from ref.
// Errors: ErrNotFound and ErrUnavailable when no copy can be read, ErrNoHolders when no disk takes the new one; ref stays valid.
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

// Replaceable returns those of the holders that have been dead or unknown for the repair delay, counted from the first call of this
// method or of Repair that found them so.
func (s *Store) Replaceable(holders []fleet.InstanceID) []fleet.InstanceID {
	present := s.present()
	now := time.Now()
	var gone []fleet.InstanceID
	for _, id := range holders {
		if _, here := present[id]; here || slices.Contains(gone, id) {
			continue
		}
		if s.absence.length(id, present, now) >= s.config.RepairDelay {
			gone = append(gone, id)
		}
	}
	return gone
}

// present returns the instances that are not dead.
func (s *Store) present() map[fleet.InstanceID]fleet.Member {
	present := make(map[fleet.InstanceID]fleet.Member)
	for _, m := range s.config.Board.Members.All() {
		if m.State != fleet.MemberDead {
			present[m.ID] = m
		}
	}
	return present
}

// copyOf reads the blob at the limited rate.
func (s *Store) copyOf(ctx context.Context, ref batch.BlobRef) ([]byte, error) {
	for left := int(ref.Bytes); left > 0; left -= s.repairs.Burst() {
		if err := s.repairs.WaitN(ctx, min(left, s.repairs.Burst())); err != nil {
			return nil, eris.Wrap(ErrUnavailable, err.Error())
		}
	}
	return s.Get(ctx, ref)
}

// keptHolders returns the holders that have the blob or may still have it.
func (s *Store) keptHolders(ctx context.Context, ref batch.BlobRef) []fleet.InstanceID {
	present := s.present()
	now := time.Now()
	kept := []fleet.InstanceID{}
	for _, id := range ref.Holders {
		gone := s.absence.length(id, present, now)
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

// lacks tells whether the holder certainly does not have the blob. One that cannot be asked may have it; the failure detector
// decides on it.
func (s *Store) lacks(ctx context.Context, m fleet.Member, ref batch.BlobRef) bool {
	bytes, err := s.sizeAt(ctx, m, ref.Digest)
	if err != nil {
		return errors.Is(err, peer.ErrNotFound)
	}
	return bytes != ref.Bytes
}

func (s *Store) sizeAt(ctx context.Context, m fleet.Member, digest string) (int64, error) {
	if m.ID != s.config.Self {
		return s.config.Peers.BlobInfo(ctx, m.PeerAddress, digest)
	}
	if s.config.Disk == nil {
		return 0, peer.ErrNotFound
	}
	info, err := s.config.Disk.Stat(digest)
	return info.Bytes, toPeer(err)
}

// replacements returns the candidates for a new copy: holders that lack the blob, then others, those in the region of a kept copy
// first.
func (s *Store) replacements(ref batch.BlobRef, kept []fleet.InstanceID) []fleet.Member {
	near := s.config.FailureDomain
	if domains := s.domainsOf(kept); len(domains) > 0 {
		near = domains[0]
	}
	candidates := slices.DeleteFunc(s.candidates(ref.Digest, near), func(m fleet.Member) bool { return slices.Contains(kept, m.ID) })
	former := func(m fleet.Member) int {
		if slices.Contains(ref.Holders, m.ID) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(candidates, func(a, b fleet.Member) int { return former(a) - former(b) })
	return candidates
}

// domainsOf returns the failure domains of the instances that are known.
func (s *Store) domainsOf(ids []fleet.InstanceID) []fleet.FailureDomain {
	domains := []fleet.FailureDomain{}
	for _, id := range ids {
		if m, ok := s.config.Board.Members.Get(id); ok {
			domains = append(domains, m.FailureDomain)
		}
	}
	return domains
}

func sameHolders(a, b []fleet.InstanceID) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
