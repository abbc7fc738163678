package bulk

import (
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// candidates returns the alive disk holders in the order in which they are tried for a blob: those in near's region first, then those
// in other regions, each group in rendezvous order. Rendezvous hashing spreads the blobs over the disks and gives a blob that is
// written again the same holders.
func (s *Store) candidates(digest string, near fleet.FailureDomain) []fleet.Member {
	ranked := ranking(digest, s.config.Board.Members.All(), func(m fleet.Member) bool {
		return m.State == fleet.MemberAlive
	})
	topology := s.config.Topology()
	regionRank := func(m fleet.Member) int {
		if topology.Distance(near, m.FailureDomain) == fleet.OtherRegion {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(a, b fleet.Member) int { return regionRank(a) - regionRank(b) })
	return ranked
}

// ranking returns the disk holders for which pass returns true, in rendezvous order for the digest.
func ranking(digest string, members []fleet.Member, pass func(fleet.Member) bool) []fleet.Member {
	byID := make(map[string]fleet.Member)
	ids := []string{}
	for _, m := range members {
		if !m.HasDisk || !pass(m) {
			continue
		}
		ids = append(ids, string(m.ID))
		byID[string(m.ID)] = m
	}
	ranked := make([]fleet.Member, 0, len(ids))
	for _, id := range rendezvous.Rendezvous(digest, ids, len(ids)) {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

// sources returns the instances to read a blob from: its holders, nearest first, then every other disk holder, nearest first, since a
// repair may have copied the blob there after the reference was written. Dead instances and this instance are left out.
func (s *Store) sources(digest string, holders []fleet.InstanceID) []fleet.Member {
	present := ranking(digest, s.config.Board.Members.All(), func(m fleet.Member) bool {
		return m.State != fleet.MemberDead && m.ID != s.config.Self
	})
	topology := s.config.Topology()
	rank := func(m fleet.Member) int {
		distance := int(topology.Distance(s.config.FailureDomain, m.FailureDomain))
		if slices.Contains(holders, m.ID) {
			return distance
		}
		return distance + int(fleet.OtherRegion) + 1
	}
	slices.SortStableFunc(present, func(a, b fleet.Member) int { return rank(a) - rank(b) })
	return present
}
