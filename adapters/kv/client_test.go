package kv_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/standin/store"
)

// Guards against lost fields, wrong prefix bounds and wrong branches on the plain path.
func TestClientReadsWhatItWrote(t *testing.T) {
	_, client := newStore(t, kv.Options{})
	lease, err := client.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	created := mustTxn(t, client, put("a/1", "one", lease))
	mustTxn(t, client, put("a/2", "", 0))
	mustTxn(t, client, put("b", "other", 0))

	one, err := client.Get(t.Context(), "a/1")
	require.NoError(t, err)
	assert.Equal(t, kv.KeyValue{
		Key: "a/1", Value: []byte("one"), CreateRevision: created.Revision, ModRevision: created.Revision, Lease: lease,
	}, one)

	list, err := client.List(t.Context(), "a/")
	require.NoError(t, err)
	assert.Equal(t, created.Revision+2, list.Revision)
	require.Len(t, list.Items, 2)
	assert.Equal(t, "a/2", list.Items[1].Key)

	all, err := client.List(t.Context(), "")
	require.NoError(t, err)
	assert.Len(t, all.Items, 3)

	lost := mustTxn(t, client, kv.Txn{
		Compares: []kv.Compare{{Key: "a/1", Target: kv.CompareValue, Value: []byte("two")}},
		Then:     []kv.Op{{Kind: kv.OpDelete, Key: "a/1"}},
		Else:     []kv.Op{{Kind: kv.OpGet, Key: "missing"}, {Kind: kv.OpGet, Key: "a/1"}},
	})
	assert.False(t, lost.Succeeded)
	assert.Equal(t, []kv.KeyValue{{Key: "missing"}, one}, lost.Gets)

	_, err = client.Get(t.Context(), "missing")
	require.ErrorIs(t, err, kv.ErrNotFound)
}

func answer(status int, contentType, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

// Guards against a write reported as without effect although it may have one (a request would run twice), and against needless
// unknown outcomes (a request would be refused for good).
func TestFailedCallsAreTold(t *testing.T) {
	cutAnswer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"succeeded":`)
	})
	tests := []struct {
		name    string
		handler http.Handler
		want    error
	}{
		{"the store refuses with no leader", answer(503, "application/json", `{"code":14,"message":"etcdserver: no leader"}`), kv.ErrUnavailable},
		{"the store is overloaded", answer(429, "application/json", `{"code":8,"message":"etcdserver: too many requests"}`), kv.ErrUnavailable},
		{"the store timed out on its proposal", answer(503, "application/json", `{"code":14,"message":"etcdserver: request timed out"}`), kv.ErrOutcomeUnknown},
		{"a gateway lost the store", answer(503, "application/json", `{"code":14,"message":"transport is closing"}`), kv.ErrOutcomeUnknown},
		{"a gateway answers in its own form", answer(502, "text/plain", "bad gateway"), kv.ErrOutcomeUnknown},
		{"the answer is not JSON", answer(200, "application/json", "<html>"), kv.ErrOutcomeUnknown},
		{"the answer lacks results", answer(200, "application/json", `{"succeeded":true}`), kv.ErrOutcomeUnknown},
		{"the answer is cut", cutAnswer, kv.ErrOutcomeUnknown},
		{"no answer comes in time", nil, kv.ErrOutcomeUnknown},
		{"the lease is gone", answer(404, "application/json", `{"code":5,"message":"etcdserver: requested lease not found"}`), kv.ErrLeaseGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := test.handler
				if handler == nil {
					hang := store.New(store.Options{}) // its channels must belong to the bubble
					hang.Hang(true)
					handler = hang
				}
				client := serve(t, handler, kv.Options{})
				_, err := client.Txn(t.Context(), put("k", "v", 0))
				require.ErrorIs(t, err, test.want)
				_, err = client.Get(t.Context(), "k")
				if test.want != kv.ErrLeaseGone {
					require.ErrorIs(t, err, kv.ErrUnavailable)
				}
			})
		})
	}
}

// Guards against an unknown outcome when no connection came about, also after the call's time is up.
func TestWriteWithoutConnectionHadNoEffect(t *testing.T) {
	for name, refused := range map[string]bool{"refused": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan struct{}) // the transport goes on dialing after the call has ended
				defer close(ended)
				transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					if !refused {
						<-ended
					}
					return nil, net.ErrClosed
				}}
				client, err := kv.NewClient("http://store", &http.Client{Transport: transport}, kv.Options{})
				require.NoError(t, err)
				start := time.Now()
				_, err = client.Txn(t.Context(), put("k", "v", 0))
				require.ErrorIs(t, err, kv.ErrUnavailable)
				assert.LessOrEqual(t, time.Since(start), kv.DefaultCallTimeout)
			})
		})
	}
}

// Guards against sending a value that the store refuses, and against refusing the largest one.
func TestValueLimit(t *testing.T) {
	fake, client := newStore(t, kv.Options{})
	mustTxn(t, client, put("k", string(make([]byte, kv.MaxValueBytes)), 0))
	sent := fake.Calls()["txn"]
	_, err := client.Txn(t.Context(), put("k", string(make([]byte, kv.MaxValueBytes+1)), 0))
	require.ErrorIs(t, err, kv.ErrValueTooLarge)
	assert.Equal(t, sent, fake.Calls()["txn"])
}

// Guards against calls that escape the store budget: each is counted once under its purpose, refused ones included.
func TestCallsAreCountedByOperationAndPurpose(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	fake, client := newStore(t, kv.Options{Scope: scope, WriterID: "i1"})
	ctx, cancel := context.WithCancel(kv.WithPurpose(t.Context(), "claims"))
	mustTxn(t, client, put("k", "v", 0))
	events, err := client.Watch(ctx, "", 0)
	require.NoError(t, err)
	<-events
	cancel()
	fake.Down(true)
	_, err = client.Get(kv.WithPurpose(t.Context(), "claims"), "k")
	require.ErrorIs(t, err, kv.ErrUnavailable)

	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()+" "+c.Tags()["operation"]+" "+c.Tags()["purpose"]+" "+c.Tags()["instance"]] += c.Value()
	}
	assert.Equal(t, map[string]int64{
		"store_calls txn other i1":          1,
		"store_calls watch claims i1":       1,
		"store_calls range claims i1":       1,
		"store_call_errors range claims i1": 1,
	}, counts)
	assert.Equal(t, map[string]int64{"txn": 1, "watch": 1, "range": 1}, fake.Calls())
}

// Guards against a listing that transfers again what its caller has read, or that skips keys.
func TestListingAfterAKey(t *testing.T) {
	_, client := newStore(t, kv.Options{})
	for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
		mustTxn(t, client, put(key, "value", 0))
	}
	for after, want := range map[string][]string{"": {"a/1", "a/2", "a/3"}, "a/1": {"a/2", "a/3"}, "a/25": {"a/3"}, "a/3": nil} {
		listing, err := client.ListAfter(t.Context(), "a/", after)
		require.NoError(t, err)
		var keys []string
		for _, item := range listing.Items {
			keys = append(keys, item.Key)
		}
		assert.Equal(t, want, keys, "after %q", after)
	}
}

// Guards against pages that overlap, miss keys or carry the values that a collector has no room for.
func TestKeysAreListedInPagesWithoutValues(t *testing.T) {
	_, client := newStore(t, kv.Options{})
	for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
		mustTxn(t, client, put(key, "value", 0))
	}
	first, err := client.ListKeys(t.Context(), "a/", "", 2)
	require.NoError(t, err)
	require.Len(t, first.Keys, 2)
	assert.True(t, first.More)
	assert.Equal(t, "a/2", first.Keys[1].Key)
	assert.Empty(t, first.Keys[1].Value)
	assert.NotZero(t, first.Keys[1].ModRevision)
	rest, err := client.ListKeys(t.Context(), "a/", "a/2", 2)
	require.NoError(t, err)
	require.Len(t, rest.Keys, 1)
	assert.False(t, rest.More)
	assert.Equal(t, "a/3", rest.Keys[0].Key)
}
