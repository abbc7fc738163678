package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// formatCompact is the version of the format of datagrams from which on an instance understands parts and compact counts; see datagram.
const formatCompact = 1

// moreCounts marks an entry of compact counts that has batch items.
const moreCounts = 0x80

// targetHash identifies a target in compact counts. With 3,000 targets, two have the same hash with a probability of 0.1 %; the counts of both then
// go to one of them.
func targetHash(id fleet.TargetID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// encodeCompact converts counts to the compact form: for each target its hash, and the number of online requests in one byte. If there are batch
// items, or too many requests for that, the byte has moreCounts, and the three counts follow as variable-length integers.
func encodeCompact(counts map[fleet.TargetID]slots.Count) []byte {
	var b []byte
	for id, c := range counts {
		b = binary.LittleEndian.AppendUint32(b, targetHash(id))
		if c.Firm == 0 && c.Yieldable == 0 && c.Online < moreCounts {
			b = append(b, byte(c.Online))
			continue
		}
		b = append(b, moreCounts)
		for _, n := range []int{c.Online, c.Firm, c.Yieldable} {
			b = binary.AppendUvarint(b, uint64(max(n, 0)))
		}
	}
	return b
}

// decodeCompact adds the counts in the compact form to counts. Targets that idOf does not know, and what follows a malformed entry, are left out.
func decodeCompact(b []byte, idOf func(uint32) (fleet.TargetID, bool), counts map[fleet.TargetID]slots.Count) {
	for len(b) >= 5 {
		hash, first := binary.LittleEndian.Uint32(b), b[4]
		b = b[5:]
		c := [3]int{int(first)}
		if first == moreCounts {
			for i := range c {
				n, size := binary.Uvarint(b)
				if size <= 0 {
					return
				}
				c[i], b = int(min(n, maxReportedTokens)), b[size:]
			}
		}
		if id, ok := idOf(hash); ok {
			counts[id] = slots.Count{Online: clampCount(c[0]), Firm: clampCount(c[1]), Yieldable: clampCount(c[2])}
		}
	}
}
