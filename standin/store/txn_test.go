package store_test

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/standin/store"
)

// A fixed seed gives the same verdict in each run; the command line may set another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// transact runs one transaction through the HTTP interface.
func transact(t require.TestingT, s *store.Server, req platform.TxnRequest) platform.TxnResponse {
	body, err := req.MarshalJSON()
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, "/v3/kv/txn", bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	var res platform.TxnResponse
	require.NoError(t, res.UnmarshalJSON(w.Body.Bytes()))
	return res
}

// modelKey is what the model knows of a key; the zero value is a missing key.
type modelKey struct{ version, created, modified, value int64 }

// number returns the property that the target names, and whether a comparison with it can hold at all.
func (k modelKey) number(target platform.CompareTarget) (int64, bool) {
	switch target {
	case platform.CompareTargetVERSION:
		return k.version, true
	case platform.CompareTargetCREATE:
		return k.created, true
	case platform.CompareTargetMOD:
		return k.modified, true
	case platform.CompareTargetVALUE:
		return k.value, k.version > 0
	}
	return 0, true // no key has a lease here
}

// holds states the meaning of each result independently of the store's code.
func holds(actual, given int64, result platform.CompareResult) bool {
	return map[platform.CompareResult]bool{
		platform.CompareResultEQUAL:    actual == given,
		platform.CompareResultNOTEQUAL: actual != given,
		platform.CompareResultGREATER:  actual > given,
		platform.CompareResultLESS:     actual < given,
	}[result]
}

func wireCompare(key string, target platform.CompareTarget, result platform.CompareResult, given int64) platform.Compare {
	n := platform.NewOptString(strconv.FormatInt(given, 10))
	c := platform.Compare{Key: []byte(key), Target: target, Result: platform.NewOptCompareResult(result)}
	c.Version, c.CreateRevision, c.ModRevision, c.Lease = n, n, n, n
	c.Value = []byte{byte(given)}
	return c
}

// Guards against a fake whose comparisons differ from etcd's: failure tests of compare-and-swap would prove nothing.
func TestComparisonsMatchTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store.New(store.Options{})
		defer s.Close()
		model := map[string]modelKey{}
		revision := s.Revision()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			expected := true
			var req platform.TxnRequest
			for range rapid.IntRange(0, 2).Draw(t, "compares") {
				key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "compared")
				target := rapid.SampledFrom(platform.CompareTarget("").AllValues()).Draw(t, "target")
				result := rapid.SampledFrom(platform.CompareResult("").AllValues()).Draw(t, "result")
				given := rapid.Int64Range(0, 9).Draw(t, "given")
				req.Compare = append(req.Compare, wireCompare(key, target, result, given))
				actual, comparable := model[key].number(target)
				expected = expected && comparable && holds(actual, given, result)
			}
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			value := rapid.Int64Range(0, 9).Draw(t, "value")
			put := platform.PutRequest{Key: []byte(key), Value: []byte{byte(value)}}
			req.Success = []platform.RequestOp{{RequestPut: platform.NewOptPutRequest(put)}}
			del := platform.DeleteRangeRequest{Key: []byte(key)}
			req.Failure = []platform.RequestOp{{RequestDeleteRange: platform.NewOptDeleteRangeRequest(del)}}

			res := transact(t, s, req)
			require.Equal(t, expected, res.Succeeded.Or(false))
			k, exists := model[key]
			switch {
			case expected:
				revision++
				if !exists {
					k.created = revision
				}
				model[key] = modelKey{version: k.version + 1, created: k.created, modified: revision, value: value}
			case exists:
				revision++
				delete(model, key)
			}
			require.Equal(t, strconv.FormatInt(revision, 10), res.Header.Value.Revision.Value)
		}
	})
}
