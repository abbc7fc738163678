// Package rendezvous implements highest-random-weight hashing: all processes with the same set of identifiers choose the same
// identifiers for a key, and removing an identifier changes the choice only for keys that had chosen it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of id for key. Both are hashed with a separator between them, so that ("ab","c") and ("a","bc") differ.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Rendezvous returns the k ids with the highest scores for key, best first. It returns all ids if there are at most k.
// The order of ids does not matter.
func Rendezvous(key string, ids []string, k int) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, len(ids))
	for i, id := range ids {
		ranked[i] = scored{id: id, score: Score(key, id)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.id, b.id)
	})
	k = max(0, min(k, len(ranked)))
	chosen := make([]string, k)
	for i := range chosen {
		chosen[i] = ranked[i].id
	}
	return chosen
}
