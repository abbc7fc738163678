package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// canonicalJSON encodes a value with sorted object keys and no spaces. It fails only for floats that JSON cannot represent, which
// Validate rejects.
func canonicalJSON(value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		return nil, err
	}
	return json.Marshal(generic)
}

// digestOf returns the hexadecimal SHA-256 of data.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// isDigest reports whether text is the lower-case hexadecimal form of a SHA-256 digest.
func isDigest(text string) bool {
	if len(text) != hex.EncodedLen(sha256.Size) {
		return false
	}
	return strings.Trim(text, "0123456789abcdef") == ""
}

// key returns "base@version", which identifies a placement entry in its list.
func (p Placement) key() string { return p.Base + "@" + p.Version }

// normalized returns a copy in which all lists are sorted, because their order has no meaning, and key digests are in lower case.
// Documents with the same content then have equal digests, in whatever order operators wrote the entries.
func (d *Document) normalized() *Document {
	out := *d
	out.Topology = normalizedTopology(d.Topology)
	out.Models = sortedBy(d.Models, func(m Model) string { return m.Name })
	out.Services = sortedBy(d.Services, func(s Service) string { return s.Name })
	for i := range out.Services {
		out.Services[i].Operations = sortedBy(out.Services[i].Operations, func(o Operation) string { return o.Name })
	}
	out.Placement = sortedBy(d.Placement, Placement.key)
	for i := range out.Placement {
		out.Placement[i].Adapters = sortedBy(out.Placement[i].Adapters, identity)
	}
	out.Groups = sortedBy(d.Groups, func(g Group) string { return g.Name })
	for i := range out.Groups {
		out.Groups[i].Models = sortedBy(out.Groups[i].Models, identity)
		out.Groups[i].Services = sortedBy(out.Groups[i].Services, identity)
	}
	out.Callers = sortedBy(d.Callers, callerKey)
	for i := range out.Callers {
		out.Callers[i].KeySHA256 = strings.ToLower(out.Callers[i].KeySHA256)
	}
	return &out
}

func normalizedTopology(t Topology) Topology {
	t.Regions = sortedBy(t.Regions, func(r Region) string { return string(r.Name) })
	for i := range t.Regions {
		t.Regions[i].FailureDomains = slices.Clone(t.Regions[i].FailureDomains)
		if t.Regions[i].FailureDomains == nil {
			t.Regions[i].FailureDomains = t.Regions[i].FailureDomains[:0:0]
		}
		slices.Sort(t.Regions[i].FailureDomains)
	}
	return t
}

func identity(s string) string { return s }

// callerKey returns the id, which identifies a caller in its list. It is not the API key.
func callerKey(c Caller) string { return string(c.ID) }

// sortedBy returns a copy of the list sorted by key. The copy is never nil, because nil and empty lists differ in JSON.
func sortedBy[T any](list []T, key func(T) string) []T {
	out := make([]T, len(list))
	copy(out, list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// CheckSection returns an error that wraps ErrDigestMismatch unless digest is the hexadecimal SHA-256 of data.
func CheckSection(digest string, data []byte) error {
	if digestOf(data) != digest {
		return eris.Wrapf(ErrDigestMismatch, "section %s", digest)
	}
	return nil
}
