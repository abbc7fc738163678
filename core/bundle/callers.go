package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"maps"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// keyDigest is the SHA-256 of an API key.
type keyDigest [sha256.Size]byte

// ResolvedCaller is a caller together with its group. It is shared between goroutines and generations and must not be modified.
type ResolvedCaller struct {
	ID        fleet.CallerID
	Group     *Group // with defaults applied
	Disabled  bool
	keySHA256 keyDigest
}

// callerIndex finds callers by the digest of their API key. It is sharded by the first byte of the digest: a change of one caller
// copies 1/256 of the entries, and generations share the other shards. The maps are not modified once the index is part of an Active.
type callerIndex struct {
	shards [256]map[keyDigest]*ResolvedCaller
	count  int
}

// lookup returns the caller whose API key has the digest, or nil if there is none.
func (x *callerIndex) lookup(digest keyDigest) *ResolvedCaller {
	found := x.shards[digest[0]][digest]
	if found == nil || subtle.ConstantTimeCompare(found.keySHA256[:], digest[:]) != 1 {
		return nil
	}
	return found
}

// indexBuilder builds an index from an older one or from nothing. It copies each shard once, before the first change to it.
type indexBuilder struct {
	index  callerIndex
	copied [256]bool
}

// writableShard returns the map of a shard, which may be modified: it is copied on first use.
func (b *indexBuilder) writableShard(n byte) map[keyDigest]*ResolvedCaller {
	if !b.copied[n] {
		b.copied[n] = true
		b.index.shards[n] = maps.Clone(b.index.shards[n])
	}
	if b.index.shards[n] == nil {
		b.index.shards[n] = map[keyDigest]*ResolvedCaller{}
	}
	return b.index.shards[n]
}

// remove deletes the entry of a caller. old is the caller as the older generation has it, because its key may have changed since.
func (b *indexBuilder) remove(old Caller) error {
	digest, err := parseKeyDigest(old.KeySHA256)
	if err != nil {
		return err
	}
	shard := b.writableShard(digest[0])
	if _, ok := shard[digest]; ok {
		delete(shard, digest)
		b.index.count--
	}
	return nil
}

// add inserts a caller. It returns ErrUnknownReference if the group does not exist and ErrDuplicate if another caller has the same key.
func (b *indexBuilder) add(c Caller, groups map[string]*groupAccess) error {
	digest, err := parseKeyDigest(c.KeySHA256)
	if err != nil {
		return eris.Wrapf(err, "caller %q", c.ID)
	}
	group, ok := groups[c.Group]
	if !ok {
		return eris.Wrapf(ErrUnknownReference, "caller %q names group %q", c.ID, c.Group)
	}
	shard := b.writableShard(digest[0])
	if other, used := shard[digest]; used {
		return eris.Wrapf(ErrDuplicate, "callers %q and %q have the same key", other.ID, c.ID)
	}
	shard[digest] = &ResolvedCaller{ID: c.ID, Group: group.group, Disabled: c.Disabled, keySHA256: digest}
	b.index.count++
	return nil
}

// rebindGroups makes all callers refer to the groups of a new catalog. Only entries of callers whose group was replaced are copied; the
// others stay shared with the older generation.
func (b *indexBuilder) rebindGroups(groups map[string]*groupAccess) error {
	for n := range b.index.shards {
		for digest, c := range b.index.shards[n] {
			next, ok := groups[c.Group.Name]
			if !ok {
				return eris.Wrapf(ErrUnknownReference, "caller %q names group %q", c.ID, c.Group.Name)
			}
			if next.group == c.Group {
				continue
			}
			rebound := *c
			rebound.Group = next.group
			b.writableShard(byte(n))[digest] = &rebound
		}
	}
	return nil
}

// Caller returns the caller with the id and reports whether it exists and is enabled. A disabled caller is returned together with false; the
// result is nil if there is no such caller, and also if its section can't be decoded. It serves work that was accepted earlier, for
// which the API key is not available. Each call decodes one section of the bundle (about 170 of 44,000 callers), so the result should
// be cached for a while.
func (a *Active) Caller(id fleet.CallerID) (*ResolvedCaller, bool) {
	digest, ok := a.manifest.Sections[callerSectionName(callerSection(id))]
	if !ok {
		return nil, false
	}
	var callers []Caller
	if err := json.Unmarshal(a.sections[digest], &callers); err != nil {
		return nil, false
	}
	for _, c := range callers {
		if c.ID != id {
			continue
		}
		key, err := parseKeyDigest(c.KeySHA256)
		if err != nil {
			return nil, false
		}
		found := a.callers.lookup(key)
		return found, found != nil && !found.Disabled
	}
	return nil, false
}
