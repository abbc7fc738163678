package routing

import (
	"github.com/cespare/xxhash/v2"

	"eelgrassproxy.example/core/fleet"
)

// prefixBytes is the length of the prompt start that decides the preferred targets. Two prompts that differ only later share
// nearly all blocks of an engine's prefix cache that a fixed instruction text can fill.
const prefixBytes = 1024

// Prefix identifies the start of a prompt. Zero means that the request has none.
type Prefix uint64

// PrefixOf hashes the start of a prompt. The model is part of it, since engines do not share cache blocks between models.
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

// rank is the rendezvous weight of a target for a prefix; all instances compute the same order without exchanging state.
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

// preferred returns the targets that should hold the prefix, best first, at most affinityWidth of them.
func preferred(p Prefix, kept []*Candidate) []fleet.TargetID {
	var best [affinityWidth]*Candidate
	var ranks [affinityWidth]uint64
	for _, c := range kept {
		insert(&best, &ranks, c, rank(p, c))
	}
	ids := make([]fleet.TargetID, 0, affinityWidth)
	for _, c := range best {
		if c != nil {
			ids = append(ids, c.Target)
		}
	}
	return ids
}

// insert keeps the candidate if its rank is among the highest, in falling order.
func insert(best *[affinityWidth]*Candidate, ranks *[affinityWidth]uint64, c *Candidate, r uint64) {
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
