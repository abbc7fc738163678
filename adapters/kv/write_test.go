package kv_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
)

// interposed runs a function between a write with an unknown outcome and the read-back.
type interposed struct {
	kv.Store
	between func()
}

func (s *interposed) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.Store.Txn(ctx, txn)
	if err != nil && s.between != nil {
		between := s.between
		s.between = nil
		between()
	}
	return result, err
}

// Guards against a lost answer that is taken for a failure (work would be done twice) or for a success (work would be lost).
func TestPutSettlesALostAnswer(t *testing.T) {
	const key = "shards/7"
	other := kv.NewWriter("other")
	tests := []struct {
		name    string
		create  bool // the key does not exist before
		effect  bool // the write takes effect before its answer is lost
		between func(t *testing.T, client *kv.Client, base kv.Revision)
		want    error
		value   string // stored at the end
	}{
		{name: "the write took effect", effect: true, value: `"mine"`},
		{name: "the write had no effect and is repeated", value: `"mine"`},
		{name: "a creation took effect", create: true, effect: true, value: `"mine"`},
		{name: "a creation had no effect and is repeated", create: true, value: `"mine"`},
		{name: "another writer replaced the expected revision", want: kv.ErrConflict, value: `"theirs"`,
			between: func(t *testing.T, client *kv.Client, base kv.Revision) {
				_, err := other.Put(t.Context(), client, key, base, []byte(`"theirs"`), 0)
				require.NoError(t, err)
			}},
		{name: "the write took effect and was replaced", effect: true, want: kv.ErrOutcomeUnknown, value: `"theirs"`,
			between: func(t *testing.T, client *kv.Client, _ kv.Revision) {
				current, err := client.Get(t.Context(), key)
				require.NoError(t, err)
				_, err = other.Put(t.Context(), client, key, current.ModRevision, []byte(`"theirs"`), 0)
				require.NoError(t, err)
			}},
		{name: "a creation finds another writer's key", create: true, want: kv.ErrOutcomeUnknown, value: `"theirs"`,
			between: func(t *testing.T, client *kv.Client, _ kv.Revision) {
				_, err := other.Put(t.Context(), client, key, 0, []byte(`"theirs"`), 0)
				require.NoError(t, err)
			}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake, client := newStore(t, kv.Options{WriterID: "me"})
			var base kv.Revision
			if !test.create {
				before, err := other.Put(t.Context(), client, key, 0, []byte(`"before"`), 0)
				require.NoError(t, err)
				base = before.Revision
			}
			if test.effect {
				fake.LoseAnswers(1)
			} else {
				fake.DropWrites(1)
			}
			store := &interposed{Store: client}
			if test.between != nil {
				store.between = func() { test.between(t, client, base) }
			}
			result, err := client.Writer().Put(t.Context(), store, key, base, []byte(`"mine"`), 0)
			require.ErrorIs(t, err, test.want)
			current, err := client.Get(t.Context(), key)
			require.NoError(t, err)
			stored, err := kv.Open(current)
			require.NoError(t, err)
			assert.Equal(t, test.value, string(stored.Value))
			if test.want == nil {
				assert.Equal(t, current.ModRevision, result.Revision)
				assert.Equal(t, base, stored.Base)
			}
		})
	}
}

// Guards against a definite answer while the store cannot be asked: the write may have taken effect.
func TestPutStaysUnknownWithoutAReadBack(t *testing.T) {
	fake, client := newStore(t, kv.Options{})
	fake.LoseAnswers(1)
	store := &interposed{Store: client, between: func() { fake.Down(true) }}
	_, err := client.Writer().Put(t.Context(), store, "k", 0, []byte(`1`), 0)
	require.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	_, err = client.Writer().Put(t.Context(), client, "k", 0, []byte(`1`), 0)
	require.ErrorIs(t, err, kv.ErrUnavailable, "the store was down before the call")
}

// late keeps the first transaction under way and reports its outcome as unknown.
type late struct {
	kv.Store
	first *kv.Txn
}

func (s *late) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.first == nil {
		s.first = &txn
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return s.Store.Txn(ctx, txn)
}

// Guards against a first attempt that arrives after the read-back and takes effect a second time.
func TestPutLeavesNoRoomForALateWrite(t *testing.T) {
	_, client := newStore(t, kv.Options{})
	slow := &late{Store: client}
	result, err := client.Writer().Put(t.Context(), slow, "k", 0, []byte(`1`), 0)
	require.NoError(t, err)
	assert.False(t, mustTxn(t, client, *slow.first).Succeeded)
	current, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	assert.Equal(t, result.Revision, current.ModRevision)
}

// Guards against a change of the value's bytes, which digests and signatures cover, and against values that cannot be stored.
func TestPutKeepsTheBytes(t *testing.T) {
	_, client := newStore(t, kv.Options{})
	lease, err := client.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	value := []byte(`{"b": "<&>", "a":1.0 }`)
	_, err = client.Writer().Put(t.Context(), client, "k", 0, value, lease)
	require.NoError(t, err)
	current, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	stored, err := kv.Open(current)
	require.NoError(t, err)
	assert.Equal(t, string(value), string(stored.Value))
	assert.Equal(t, lease, stored.Lease)

	_, err = client.Writer().Put(t.Context(), client, "k", 0, []byte("text"), 0)
	require.ErrorIs(t, err, kv.ErrInvalidValue)
	_, err = client.Writer().Put(t.Context(), client, "k", 0, value, 0)
	require.ErrorIs(t, err, kv.ErrConflict)
}
