package routing

import (
	"github.com/cespare/xxhash/v2"

	"eelgrassproxy.example/core/fleet"
)

// prefixBytes is the number of bytes at the start of a prompt that determine its preferred targets. Prompts that differ only after
// them share nearly all blocks that a fixed instruction text can fill in an engine's prefix cache.
const prefixBytes = 1024

// Prefix identifies the start of a prompt. Zero means that the request has no prompt.
type Prefix uint64

// PrefixOf returns a hash of the model and the start of a prompt, 0 for an empty prompt. The hash includes the model because engines
// do not share cache blocks between models.
func PrefixOf(model string, prompt []byte) Prefix {
	if len(prompt) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write(prompt[:min(len(prompt), prefixBytes)])
	return Prefix(digest.Sum64())
}

// rank returns the rendezvous weight of a target for a prefix. All instances compute the same order without exchanging state.
func rank(p Prefix, c *Candidate) uint64 {
	if c.hash == 0 {
		c.hash = xxhash.Sum64String(string(c.Target))
	}
	return mix(uint64(p) ^ c.hash)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// preferred returns the targets with the highest ranks for the prefix, best first, at most affinityWidth of them.
func preferred(p Prefix, kept []*Candidate) []fleet.TargetID {
	var best [affinityWidth]*Candidate
	var ranks [affinityWidth]uint64
	for _, c := range kept {
		insertRanked(&best, &ranks, c, rank(p, c))
	}
	ids := make([]fleet.TargetID, 0, affinityWidth)
	for _, c := range best {
		if c != nil {
			ids = append(ids, c.Target)
		}
	}
	return ids
}

// insertRanked adds the candidate to best if its rank r is among the highest. best and ranks are in descending order of rank.
func insertRanked(best *[affinityWidth]*Candidate, ranks *[affinityWidth]uint64, c *Candidate, r uint64) {
	for i := range best {
		if best[i] == nil || r > ranks[i] {
			best[i], c = c, best[i]
			ranks[i], r = r, ranks[i]
			if c == nil {
				return
			}
		}
	}
}
