package instancelist_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/core/fleet"
	fake "eelgrassproxy.example/standin/instancelist"
)

// direct calls a handler without a connection, so that the lag runs on virtual time.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against changes that are missed, repeated or misfiled between polls, and against an outage taken for an empty list.
func TestChangesSinceTheLastPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fake.New(fake.Options{Lag: 2 * time.Second})
		client, err := instancelist.NewClient("http://list", &http.Client{Transport: direct{list}}, 0)
		require.NoError(t, err)
		list.Set(platform.Instance{ID: "e", Kind: "entry", Address: "10.0.0.1:1", FailureDomain: "a", State: "live"})
		list.Set(platform.Instance{ID: "m", Kind: "engine", Address: "10.0.0.2:1", FailureDomain: "b", State: "live"})
		list.Set(platform.Instance{
			ID: "s", Kind: "service", Name: platform.NewOptString("quotes"), Address: "10.0.0.3:1", FailureDomain: "a", State: "live",
		})
		early, err := client.Changes(t.Context(), 0)
		require.NoError(t, err)
		assert.Equal(t, instancelist.Changes{}, early)

		time.Sleep(2 * time.Second)
		first, err := client.Changes(t.Context(), early.Revision)
		require.NoError(t, err)
		engine := fleet.Target{ID: "m", Kind: fleet.KindEngine, Address: "10.0.0.2:1", FailureDomain: "b", State: fleet.TargetLive}
		service := fleet.Target{
			ID: "s", Kind: fleet.KindService, Service: "quotes", Address: "10.0.0.3:1", FailureDomain: "a", State: fleet.TargetLive,
		}
		assert.Equal(t, []fleet.Target{engine, service}, first.Targets)
		assert.Equal(t, []instancelist.EntryInstance{{ID: "e", PeerAddress: "10.0.0.1:1", FailureDomain: "a"}}, first.Entries)

		list.Remove("e")
		engineLeaves := platform.Instance{ID: "m", Kind: "engine", Address: "10.0.0.2:1", FailureDomain: "b", State: "leaving"}
		list.Set(engineLeaves)
		time.Sleep(2 * time.Second)
		second, err := client.Changes(t.Context(), first.Revision)
		require.NoError(t, err)
		engine.State = fleet.TargetLeaving
		assert.Equal(t, instancelist.Changes{
			Revision: 5, Targets: []fleet.Target{engine}, RemovedInstances: []fleet.InstanceID{"e"},
		}, second)

		list.Down(true)
		_, err = client.Changes(t.Context(), second.Revision)
		require.ErrorIs(t, err, instancelist.ErrUnavailable)
	})
}

// Guards against one odd instance that makes the whole list unavailable, at each poll.
func TestOddInstanceHidesOnlyItself(t *testing.T) {
	for name, odd := range map[string]string{
		"unknown kind":   `{"id":"x","kind":"printer","address":"10.0.0.9:1","failure_domain":"a","state":"live"}`,
		"unknown state":  `{"id":"x","kind":"engine","address":"10.0.0.9:1","failure_domain":"a","state":"resting"}`,
		"missing fields": `{"id":"x"}`,
		"another type":   `{"id":7,"kind":"engine","address":"10.0.0.9:1","failure_domain":"a","state":"live"}`,
		"null":           `null`,
		"nested deeply":  strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"1e999":          `1e999`,
	} {
		t.Run(name, func(t *testing.T) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, `{"revision":9,"instances":[{"id":"a","kind":"engine","address":"10.0.0.1:1","failure_domain":"a","state":"live"},`+odd+
					`,{"id":"z","kind":"entry","address":"10.0.0.2:1","failure_domain":"a","state":"gone"}]}`)
			})
			client, err := instancelist.NewClient("http://list", &http.Client{Transport: direct{handler}}, 0)
			require.NoError(t, err)
			changes, err := client.Changes(t.Context(), 0)
			require.NoError(t, err)
			require.Equal(t, int64(9), changes.Revision)
			require.Equal(t, 1, changes.Unreadable)
			require.Len(t, changes.Targets, 1)
			require.Equal(t, []fleet.InstanceID{"z"}, changes.RemovedInstances)
		})
	}
}

// Guards against a damaged answer that is taken for a list.
func TestDamagedListIsUnavailable(t *testing.T) {
	for _, answer := range []string{"", "{", `{"instances":[]}`, `{"revision":1e999,"instances":[]}`, `{"revision":3}`, `{"revision":3,"instances":[{"id":`} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, answer)
		})
		client, err := instancelist.NewClient("http://list", &http.Client{Transport: direct{handler}}, 0)
		require.NoError(t, err)
		_, err = client.Changes(t.Context(), 0)
		require.ErrorIs(t, err, instancelist.ErrUnavailable, answer)
	}
}
