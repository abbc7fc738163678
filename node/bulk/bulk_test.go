package bulk

import (
	"bytes"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
)

// Guards against two copies in one failure domain, which one failure destroys, and against needless traffic between regions.
func TestHoldersAreInTwoFailureDomainsOfTheRegionIfPossible(t *testing.T) {
	cases := map[string]struct {
		instances []fleet.InstanceID
		want      []fleet.InstanceID
	}{
		"the region has two domains":             {[]fleet.InstanceID{"a1x", "a1y", "a2x", "b1x", "c1x"}, nil},
		"the region has one domain with holders": {[]fleet.InstanceID{"a1x", "a1y", "b1x"}, []fleet.InstanceID{"b1x"}},
		"the region has no holder":               {[]fleet.InstanceID{"b1x", "c1x"}, []fleet.InstanceID{"b1x", "c1x"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, c.instances...)
			ref := put(t, w.store("a1z"))
			if c.want != nil {
				assert.Subset(t, ref.Holders, c.want)
				return
			}
			assert.Contains(t, ref.Holders, fleet.InstanceID("a2x"))
			assert.NotSubset(t, []fleet.InstanceID{"a2x", "b1x", "c1x"}, ref.Holders, "the other holder is in domain a1")
		})
	}
}

// Guards against acknowledged data that is lost with one instance.
func TestAnAcknowledgedBlobSurvivesTheLossOfEitherHolder(t *testing.T) {
	for lost := range 2 {
		w := newWorld(t, "a1x", "a2x", "a3x")
		ref := put(t, w.store("a1x"))
		w.lost[ref.Holders[lost]] = true
		w.setState(ref.Holders[lost], fleet.MemberDead)
		content, err := w.store("b1z").Get(t.Context(), ref)
		require.NoError(t, err)
		assert.Equal(t, data, content)
	}
}

// Guards against acknowledging a blob that has only one copy.
func TestOneHolderIsNotEnough(t *testing.T) {
	cases := map[string]func(*world){
		"the only other holder is lost":           func(w *world) { w.lost["a2x"] = true },
		"the only other holder is full":           func(w *world) { w.open("a2x", disk.Options{QuotaBytes: 10}) },
		"the only other holder is dead":           func(w *world) { w.setState("a2x", fleet.MemberDead) },
		"the only other holder has lost its disk": func(w *world) { w.disks["a2x"] = nil },
		"both holders are in the same failure domain": func(w *world) {
			w.members[1].FailureDomain = "a1"
			w.board.Members.Replace(w.members)
		},
	}
	for name, breakHolder := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "a1x", "a2x")
			breakHolder(w)
			ref, err := w.store("a1x").Put(t.Context(), data)
			assert.ErrorIs(t, err, ErrNoHolders)
			assert.Empty(t, ref)
		})
	}
}

// Guards against uploads that fail because one disk holder is full, unreachable or unresponsive while others have space.
func TestAFailedHolderIsReplacedByAnotherDuringPut(t *testing.T) {
	cases := map[string]func(*world, fleet.InstanceID){
		"a full disk":            func(w *world, id fleet.InstanceID) { w.open(id, disk.Options{QuotaBytes: 10}) },
		"an unreachable holder":  func(w *world, id fleet.InstanceID) { w.lost[id] = true },
		"an unresponsive holder": func(w *world, id fleet.InstanceID) { w.silent[id] = true },
	}
	for name, breakHolder := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "a1x", "a1y", "a2x", "a3x", "b1x")
				first := put(t, w.store("c1z"))
				for _, id := range first.Holders {
					breakHolder(w, id)
				}
				start := time.Now()
				ref := put(t, w.store("c1z"))
				assert.NotContains(t, ref.Holders, first.Holders[0])
				assert.NotContains(t, ref.Holders, first.Holders[1])
				assert.LessOrEqual(t, time.Since(start), 2*peer.FetchTimeout)
				content, err := w.store("c1z").Get(t.Context(), ref)
				require.NoError(t, err)
				assert.Equal(t, data, content)
			})
		})
	}
}

// Guards against uploads that fail because all disks are slow, and against waiting for a slow disk while others are fast.
func TestSlowDisksStoreABlob(t *testing.T) {
	const tolerance = time.Second
	cases := map[string]struct {
		instances, slow []fleet.InstanceID
		sync            time.Duration
		atMost          time.Duration
		want            []fleet.InstanceID
	}{
		"all disks":                      {[]fleet.InstanceID{"a1x", "a2x"}, []fleet.InstanceID{"a1x", "a2x"}, 12 * time.Second, 12 * time.Second, []fleet.InstanceID{"a1x", "a2x"}},
		"one of two":                     {[]fleet.InstanceID{"a1x", "a2x"}, []fleet.InstanceID{"a2x"}, 12 * time.Second, 12 * time.Second, []fleet.InstanceID{"a1x", "a2x"}},
		"two of four":                    {[]fleet.InstanceID{"a1x", "a2x", "a3x", "a4x"}, []fleet.InstanceID{"a1x", "a2x"}, 12 * time.Second, 10 * time.Second, []fleet.InstanceID{"a3x", "a4x"}},
		"one of two in a failure domain": {[]fleet.InstanceID{"a1x", "a1y", "a2x"}, []fleet.InstanceID{"a1x"}, 12 * time.Second, 5 * time.Second, []fleet.InstanceID{"a1y", "a2x"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.instances...)
				for _, id := range c.slow {
					w.open(id, disk.Options{FS: slowFS{sync: c.sync}})
				}
				start := time.Now()
				ref := put(t, w.store("b1z"))
				assert.LessOrEqual(t, time.Since(start), c.atMost+tolerance)
				assert.ElementsMatch(t, c.want, ref.Holders)
				time.Sleep(2 * c.sync) // the slow disks still write what was given up
			})
		})
	}
}

// Guards against two copies in one failure domain, of a slow disk and of the one that was tried instead.
func TestSlowDisksOfOneFailureDomainStoreOneCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a1x", "a1y", "a2x")
		for _, id := range []fleet.InstanceID{"a1x", "a1y", "a2x"} {
			w.open(id, disk.Options{FS: slowFS{sync: 8 * time.Second}})
		}
		w.silent["a2x"] = true
		_, err := w.store("b1z").Put(t.Context(), data)
		require.ErrorIs(t, err, ErrNoHolders)
		time.Sleep(time.Minute)
	})
}

// Guards against uploads that wait without limit for disks that hang.
func TestHungDisksAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a1x", "a2x")
		for _, id := range []fleet.InstanceID{"a1x", "a2x"} {
			w.open(id, disk.Options{FS: slowFS{sync: time.Hour}})
		}
		start := time.Now()
		_, err := w.store("a1x").Put(t.Context(), data)
		require.ErrorIs(t, err, ErrNoHolders)
		assert.LessOrEqual(t, time.Since(start), 16*time.Second)
		time.Sleep(2 * time.Hour)
	})
}

// Guards against returning corrupt content, and against a corrupt copy that is never replaced, so that only one good copy is left.
func TestACorruptCopyIsNeverReturnedAndIsRepaired(t *testing.T) {
	damage := map[string]func(name string) error{
		"a truncated file": func(name string) error { return os.Truncate(name, 100) },
		"a changed byte":   func(name string) error { return os.WriteFile(name, append([]byte{'X'}, data[1:]...), 0o600) },
		"a lost file":      os.Remove,
	}
	for name, damageFile := range damage {
		for victim := range 2 {
			for _, reader := range []fleet.InstanceID{"a1x", "a2x", "b1z"} {
				t.Run(name, func(t *testing.T) {
					w := newWorld(t, "a1x", "a2x")
					ref := put(t, w.store("a1x"))
					require.NoError(t, damageFile(w.file(ref.Holders[victim], ref.Digest)))
					content, err := w.store(reader).Get(t.Context(), ref)
					require.NoError(t, err)
					assert.Equal(t, data, content)
					if name == "a changed byte" {
						_, _ = w.disks[ref.Holders[victim]].Get(ref.Digest) // only a read detects the change, and the reader may have used the other copy
					}
					repaired, changed, err := w.store("b1z").Repair(t.Context(), ref)
					require.NoError(t, err)
					assert.False(t, changed, "the copy is restored at the same holder")
					assert.Equal(t, ref.Digest, repaired.Digest)
					restored, err := w.disks[ref.Holders[victim]].Get(ref.Digest)
					require.NoError(t, err)
					assert.Equal(t, data, restored)
				})
			}
		}
	}
}

// Guards against returning content that was corrupted in transit, after the holder checked it.
func TestContentIsCheckedAfterTransfer(t *testing.T) {
	w := newWorld(t, "a1x", "a2x")
	ref := put(t, w.store("a1x"))
	w.garbled[ref.Holders[0]] = true
	content, err := w.store("b1z").Get(t.Context(), ref)
	require.NoError(t, err)
	assert.Equal(t, data, content)
	w.garbled[ref.Holders[1]] = true
	_, err = w.store("b1z").Get(t.Context(), ref)
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against blobs that stay on one disk permanently, and against replacing the copy of an instance that only restarts.
func TestALostHolderIsReplacedAfterTheRepairDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a1x", "a2x", "a3x", "b1x")
		s := w.store("b1x")
		ref := put(t, w.store("a1x"))
		lost, kept := ref.Holders[0], ref.Holders[1]
		repair := func() (batch.BlobRef, bool) {
			next, changed, err := s.Repair(t.Context(), ref)
			require.NoError(t, err)
			return next, changed
		}
		w.lost[lost] = true
		_, changed := repair()
		assert.False(t, changed, "unreachable, but not dead")
		w.setState(lost, fleet.MemberDead)
		_, changed = repair()
		assert.False(t, changed, "only just dead")
		time.Sleep(defaultRepairDelay - time.Second)
		_, changed = repair()
		assert.False(t, changed, "dead for less than the delay")
		time.Sleep(time.Second)
		next, changed := repair()
		require.True(t, changed)
		assert.Contains(t, next.Holders, kept)
		assert.NotContains(t, next.Holders, lost)
		assert.NotContains(t, next.Holders, fleet.InstanceID("b1x"), "the copy stays in the region")
		w.lost[kept] = true
		content, err := s.Get(t.Context(), next)
		require.NoError(t, err)
		assert.Equal(t, data, content)
	})
}

// Guards against repairs that saturate the link between regions.
func TestRepairsAreLimitedInBytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a1x", "a2x")
		s := w.store("b1z")
		s.config.RepairBytesPerSecond = len(data) / 10
		s = New(s.config)
		ref := put(t, s)
		require.NoError(t, os.Remove(w.file(ref.Holders[0], ref.Digest)))
		start := time.Now()
		_, _, err := s.Repair(t.Context(), ref)
		require.NoError(t, err)
		assert.InDelta(t, 9*time.Second, time.Since(start), float64(time.Second), "the bytes of the first second are a burst and do not wait")
	})
}

// Guards against reporting a blob as not found while a holder may still return with it, and against reporting it as unavailable when it
// no longer exists.
func TestAMissingBlobIsDistinguishedFromAnUnreachableOne(t *testing.T) {
	w := newWorld(t, "a1x", "a2x", "a3x")
	s := w.store("b1z")
	ref := put(t, s)
	for _, id := range ref.Holders {
		require.NoError(t, os.Remove(w.file(id, ref.Digest)))
	}
	_, err := s.Get(t.Context(), ref)
	assert.ErrorIs(t, err, ErrNotFound)
	w.lost[ref.Holders[0]] = true
	_, err = s.Get(t.Context(), ref)
	assert.ErrorIs(t, err, ErrUnavailable)
	w.setState(ref.Holders[0], fleet.MemberDead)
	_, err = s.Get(t.Context(), ref)
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = s.Get(t.Context(), batch.BlobRef{Digest: "../x", Bytes: 1})
	assert.ErrorIs(t, err, ErrInvalid)
	assert.False(t, errors.Is(err, ErrNotFound))
}

// Guards against removing blobs that a record refers to or that were written recently.
func TestOnlyOldBlobsWithoutARecordAreCollected(t *testing.T) {
	w := newWorld(t, "a1x")
	d := w.disks["a1x"]
	digests := map[string]string{}
	ages := map[string]time.Duration{"old": 8 * 24 * time.Hour, "old and named": 8 * 24 * time.Hour, "young": 6 * 24 * time.Hour}
	for name, age := range ages {
		digest := disk.Digest([]byte(name))
		require.NoError(t, d.Put(digest, bytes.NewReader([]byte(name))))
		written := time.Now().Add(-age)
		require.NoError(t, os.Chtimes(w.file("a1x", digest), written, written))
		digests[name] = digest
	}
	c := NewCollector(d, 0, func(digest string) bool { return digest == digests["old and named"] })
	require.NoError(t, c.Reconcile(t.Context()))
	assert.False(t, d.Has(digests["old"]))
	assert.True(t, d.Has(digests["old and named"]))
	assert.True(t, d.Has(digests["young"]))
	assert.Equal(t, MinRetention, NewCollector(d, time.Minute, nil).retention)
}
