package sessions

import (
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/fleet"
	"eelgrassproxy.example/standin/service"
)

// scenario is one whole session. play returns the requests whose decisions belong into the golden file.
type scenario struct {
	name   string
	guards string // the failure that the session guards against
	adjust func(*fleet.Options)
	play   func(s *session) []string
}

// Each session runs the real instances over an in-memory network on virtual time and is compared with its golden file
// (go test ./standin/sessions -update rewrites them).
func TestSessions(t *testing.T) {
	for _, c := range slices.Concat(goodPath(), faults(), placements(), bundles()) {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSession(t, c.adjust)
				requests := c.play(s)
				goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, c.name, s.golden(requests...))
				s.fleet.Stop()
				s.client.CloseIdleConnections()
				time.Sleep(time.Minute) // lets closed connections and retries end; time stands still once the bubble's function returns
			})
		})
	}
}

func goodPath() []scenario {
	return []scenario{
		{
			name:   "stream",
			guards: "an answer that is not streamed event by event, in order and with the caller's request id",
			play: func(s *session) []string {
				a := s.send(chat(0, "first", true, 3), nil)
				require.Equal(s.t, 200, a.status)
				require.Contains(s.t, a.body, "[DONE]")
				return []string{"first"}
			},
		},
		{
			name:   "whole-answer",
			guards: "an answer in one piece that is not the target's",
			play: func(s *session) []string {
				a := s.send(chat(1, "whole", false, 3), nil)
				require.Equal(s.t, 200, a.status)
				return []string{"whole"}
			},
		},
		{
			name:   "unknown-model-and-key",
			guards: "requests that reach a target although the bundle does not allow them",
			play: func(s *session) []string {
				r := chat(0, "nope", true, 3)
				r.body = strings.Replace(r.body, "bench-assist", "other", 1)
				require.Equal(s.t, 404, s.send(r, nil).status)
				r = chat(0, "stranger", true, 3)
				r.apiKey = "unknown"
				require.Equal(s.t, 401, s.send(r, nil).status)
				require.Equal(s.t, 400, s.send(issue(0, "no-key", ""), nil).status)
				require.Empty(s.t, s.fleet.Ledger.Executions())
				return nil
			},
		},
		{
			name:   "bad-input",
			guards: "bad input that reaches a target, or is answered without a typed error or a true not_run",
			play: func(s *session) []string {
				for _, c := range []struct {
					body   string
					status int
					code   string
				}{
					{`{"model":`, 400, "invalid_request"},
					{`{"model":"bench-assist","messages":[]}`, 400, "invalid_request"},
					{`{"model":"bench-assist","messages":"none"}`, 400, "invalid_request"},
					{`[1,2,3]`, 400, "invalid_request"},
					{"", 400, "invalid_request"},
					{`{"model":"bench-assist","messages":[{"role":"` + strings.Repeat("x", 1<<20) + `"}]}`, 413, "body_too_large"},
				} {
					a := s.do(request{instance: 0, path: "/v1/chat/completions", id: "bad", body: c.body}, nil)
					require.Equal(s.t, c.status, a.status, a.body)
					require.Contains(s.t, a.body, `"code":"`+c.code+`"`)
					require.Contains(s.t, a.body, `"not_run":true`)
				}
				a := s.do(request{instance: 0, path: "/v1/chat/completions", id: strings.Repeat("y", 20<<10), body: "{}"}, nil)
				require.Equal(s.t, 431, a.status)
				require.Equal(s.t, 400, s.do(request{instance: 0, path: "/v1/chat/completions", id: "a/b", body: chat(0, "x", true, 1).body}, nil).status)
				requireWhole(s.t, s.send(chat(0, "good", true, 2), nil), 2)
				return nil
			},
		},
		{
			name:   "service-once",
			guards: "a resend, at the same or another instance, that runs a non-idempotent operation again",
			play: func(s *session) []string {
				require.Equal(s.t, 200, s.send(issue(0, "q1", "k1"), nil).status)
				require.Equal(s.t, 200, s.send(issue(0, "q2", "k1"), nil).status)
				require.Equal(s.t, 200, s.send(issue(2, "q3", "k1"), nil).status)
				changed := issue(1, "q4", "k1")
				changed.body = `{"lamp":"steel"}`
				require.Equal(s.t, 422, s.send(changed, nil).status)
				require.Equal(s.t, 1, s.fleet.Ledger.OfKey("k1"))
				return []string{"q1", "q2", "q3", "q4"}
			},
		},
	}
}

func faults() []scenario {
	return []scenario{
		{
			name:   "silent-connection",
			guards: "a stream that hangs, loses or repeats events when its connection goes silent",
			play: func(s *session) []string {
				a := s.send(chat(0, "quiet", true, 8), func(n int) {
					if n == 2 {
						s.network.Silence(s.fleet.Addresses[string(s.servedBy("quiet"))])
						s.note("connections of the target go silent")
					}
				})
				requireWhole(s.t, a, 8)
				return []string{"quiet"}
			},
		},
		{
			name:   "silent-pooled-connections",
			guards: "requests on pooled connections that went silent and that wait for their deadline",
			play: func(s *session) []string {
				requireWhole(s.t, s.do(chat(0, "warm", true, 2), nil), 2)
				time.Sleep(time.Second)
				for id := range s.fleet.Engines {
					s.network.Silence(s.fleet.Addresses[string(id)])
				}
				s.note("all open connections of engines go silent")
				var group sync.WaitGroup
				for _, id := range []string{"p1", "p2", "p3", "p4"} {
					group.Go(func() { requireWhole(s.t, s.do(chat(0, id, true, 3), nil), 3) })
					time.Sleep(7 * time.Millisecond) // keeps the order of random choices the same on each run
				}
				group.Wait()
				requireWhole(s.t, s.send(chat(0, "p5", true, 3), nil), 3)
				return []string{"p5"}
			},
		},
		{
			name:   "crossed-answers",
			guards: "events of another request that reach a caller",
			play: func(s *session) []string {
				requireWhole(s.t, s.do(chat(0, "other", true, 6), nil), 6)
				other := s.upstream("other")
				s.onPost = func(part, id string) {
					if strings.HasPrefix(id, "mine.") {
						s.fleet.Engines[corefleet.TargetID(part)].Cross(id, other)
					}
				}
				r := chat(0, "mine", true, 6)
				r.body = chat(0, "other", true, 6).body // the same prompt goes to the same engine
				a := s.send(r, nil)
				requireWhole(s.t, a, 6)
				require.NotContains(s.t, a.body, other)
				return []string{"mine"}
			},
		},
		{
			name:   "target-lost-before-answer",
			guards: "a request that fails although another target can run it",
			play: func(s *session) []string {
				victim := s.preferred("lost")
				s.fleet.StopTarget(victim)
				s.note("%s is lost", victim)
				requireWhole(s.t, s.send(chat(0, "lost", true, 3), nil), 3)
				return []string{"lost"}
			},
		},
		{
			name:   "target-lost-mid-stream",
			guards: "an incomplete answer that ends as if it were whole",
			play: func(s *session) []string {
				a := s.send(chat(0, "half", true, 8), func(n int) {
					if n == 2 {
						victim := s.servedBy("half")
						s.fleet.StopTarget(victim)
						s.note("%s is lost", victim)
					}
				})
				require.NotContains(s.t, a.body, "[DONE]")
				require.Contains(s.t, a.body, "event: error")
				require.ErrorIs(s.t, a.err, io.ErrUnexpectedEOF, "the connection ends without the last chunk")
				return []string{"half"}
			},
		},
		{
			name:   "target-leaving",
			guards: "new work for a leaving target, or a false answer for the request that found it leaving",
			play: func(s *session) []string {
				victim := s.preferred("moved")
				s.fleet.Engines[victim].Leaving(true)
				s.note("%s says that it is leaving", victim)
				requireWhole(s.t, s.send(chat(0, "moved", true, 3), nil), 3)
				time.Sleep(3 * time.Second)
				for _, i := range s.fleet.Instances {
					entry, ok := i.Daemon.Board().Targets.Get(victim)
					require.True(s.t, ok)
					require.Equal(s.t, corefleet.TargetLeaving, entry.State, "%s has not heard that the target is leaving", i.ID)
				}
				return []string{"moved"}
			},
		},
		{
			name:   "slow-target-hedged",
			guards: "an online answer that waits for one slow path although another target is idle",
			play: func(s *session) []string {
				for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
					requireWhole(s.t, s.do(chat(0, id, true, 2), nil), 2)
				}
				victim := s.preferred("slow")
				address := s.fleet.Addresses[string(victim)]
				s.network.Delay("instance-1", address, 800*time.Millisecond)
				s.note("the path from instance-1 to %s becomes slow", victim)
				started := time.Now()
				requireWhole(s.t, s.send(chat(0, "slow", true, 3), nil), 3)
				require.Less(s.t, time.Since(started), 400*time.Millisecond)
				return []string{"slow"}
			},
		},
		{
			name:   "service-answer-lost",
			guards: "a second run of an operation whose first answer was lost, or a false not-run",
			play: func(s *session) []string {
				for _, replica := range s.fleet.Services {
					replica.Inject(service.AnswerLost)
				}
				first := s.send(issue(0, "b1", "k2"), nil)
				require.Equal(s.t, 502, first.status)
				require.Contains(s.t, first.body, `"not_run":false`)
				again := s.send(issue(1, "b2", "k2"), nil)
				require.Contains(s.t, again.body, "outcome_unknown")
				require.Equal(s.t, 1, s.fleet.Ledger.OfKey("k2"))
				return []string{"b1", "b2"}
			},
		},
		{
			name:   "store-down",
			guards: "online answers that stop with the store, and calls that run without a claim",
			play: func(s *session) []string {
				s.fleet.Store.Down(true)
				s.note("store goes down")
				refused := s.send(issue(0, "d1", "k3"), nil)
				require.Equal(s.t, 503, refused.status)
				require.Contains(s.t, refused.body, `"not_run":true`)
				require.Zero(s.t, s.fleet.Ledger.OfKey("k3"))
				requireWhole(s.t, s.send(chat(1, "online", true, 3), nil), 3)
				s.fleet.Store.Down(false)
				s.note("store comes back")
				time.Sleep(3 * time.Second)
				require.Equal(s.t, 200, s.send(issue(0, "d2", "k3"), nil).status)
				require.Equal(s.t, 1, s.fleet.Ledger.OfKey("k3"))
				return []string{"d1", "online", "d2"}
			},
		},
		{
			name:   "claim-answer-lost",
			guards: "a claim whose write took effect unseen and that blocks or doubles the request",
			play: func(s *session) []string {
				s.fleet.Store.LoseAnswers(1)
				s.note("store loses the answer of the next write")
				require.Equal(s.t, 200, s.send(issue(0, "c1", "k4"), nil).status)
				require.Equal(s.t, 200, s.send(issue(1, "c2", "k4"), nil).status)
				require.Equal(s.t, 1, s.fleet.Ledger.OfKey("k4"))
				return []string{"c1", "c2"}
			},
		},
		{
			name:   "instance-lost-after-claim",
			guards: "a second run after the loss of the instance that ran the first",
			play: func(s *session) []string {
				done := make(chan answer)
				go func() { done <- s.send(issue(0, "i1", "k5"), nil) }()
				s.awaitExecutions(1)
				require.NoError(s.t, s.fleet.Crash(s.fleet.Instances[0]))
				s.note("instance-1 is lost")
				require.Error(s.t, (<-done).err)
				time.Sleep(20 * time.Second)
				again := s.send(issue(1, "i2", "k5"), nil)
				require.Contains(s.t, again.body, "outcome_unknown")
				require.Equal(s.t, 1, s.fleet.Ledger.OfKey("k5"))
				return []string{"i2"}
			},
		},
		{
			name:   "caller-leaves",
			guards: "an engine that goes on generating for a caller that has gone",
			play: func(s *session) []string {
				r := chat(0, "gone", true, 500)
				r.leaves = 3
				require.Error(s.t, s.do(r, nil).err)
				time.Sleep(time.Second)
				target := s.servedBy("gone")
				require.Equal(s.t, 1, s.fleet.Engines[target].Cancelled())
				require.Less(s.t, s.fleet.Engines[target].Tokens(), 50)
				return nil
			},
		},
		{
			name:   "long-stream",
			guards: "a stream that is cut off because it lasts longer than a bound on reading the request",
			play: func(s *session) []string {
				a := s.send(chat(0, "long", true, 6000), nil)
				requireWhole(s.t, a, 6000)
				s.events = s.events[:2] // the answer's 6,000 events do not belong into the golden file
				return nil
			},
		},
		{
			name:   "version-change-between-resends",
			guards: "a resend that is told to be another request because the bundle has changed the model's version meanwhile",
			play: func(s *session) []string {
				first := chat(0, "v1", false, 3)
				first.key = "k6"
				a := s.send(first, nil)
				require.Equal(s.t, 200, a.status)
				doc := fleet.Draadwerk().Document(2)
				doc.Models[0].Base, doc.Models[0].Version = "bench-assist", "2"
				require.NoError(s.t, s.fleet.Roll(s.t.Context(), doc))
				time.Sleep(5 * time.Second)
				s.note("a bundle with version 2 of the model is rolled")
				first.id, first.instance = "v2", 1
				first.body = chat(0, "v1", false, 3).body
				b := s.send(first, nil)
				require.Equal(s.t, 200, b.status, b.body)
				require.Equal(s.t, a.body, b.body)
				return nil
			},
		},
		{
			name:   "drain-during-stream",
			guards: "a graceful shutdown that cuts off a request, or that is not announced",
			play: func(s *session) []string {
				var late answer
				a := s.send(chat(0, "drain", true, 1500), func(n int) {
					switch n {
					case 2:
						s.fleet.Instances[0].Drain()
						s.note("instance-1 is asked to shut down")
					case 100:
						late = s.do(chat(0, "late", true, 2), nil)
						requireWhole(s.t, late, 2)
					}
				})
				require.Equal(s.t, 1502, strings.Count(a.body, "data: "))
				require.Contains(s.t, a.body, "[DONE]")
				require.NoError(s.t, s.fleet.Instances[0].Wait())
				require.True(s.t, late.closes, "a request during the drain is served and its connection is closed afterwards")
				s.events = s.events[:2] // the answer's 1,500 events do not belong into the golden file
				return nil
			},
		},
	}
}

// requireWhole checks that a stream has the given number of tokens, a usage event and its end, without hole or repeat.
func requireWhole(t *testing.T, a answer, tokens int) {
	t.Helper()
	require.Equal(t, 200, a.status)
	require.Contains(t, a.body, "data: [DONE]")
	require.Equal(t, tokens, strings.Count(a.body, `"content":`), a.body)
}
