package sessions

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/standin/fleet"
)

// inForceWithin is the time in which a change is to be in force everywhere.
const inForceWithin = 3 * time.Second

// newCaller returns an account whose API key is its id.
func newCaller(id string) bundle.Caller {
	return bundle.Caller{ID: corefleet.CallerID(id), Group: "workshops", KeySHA256: fleet.Digest(id)}
}

func (s *session) prepare(instance int, id string) *fleet.CallerChange {
	change, err := s.fleet.PrepareCaller(s.t.Context(), s.fleet.Instances[instance], newCaller(id))
	require.NoError(s.t, err)
	return change
}

// roll rolls the change that an operator prepared at an instance and notes the outcome.
func (s *session) roll(change *fleet.CallerChange, what string) error {
	s.note("operator rolls %s", what)
	generation, err := s.fleet.RollCaller(s.t.Context(), change)
	var typed *operator.ErrorStatusCode
	switch {
	case errors.As(err, &typed) && typed.Response.Error.Generation.Set:
		s.note("%s: refused, %s, generation %d is in force", what, typed.Response.Error.Code, typed.Response.Error.Generation.Value)
	case errors.As(err, &typed):
		s.note("%s: refused, %s", what, typed.Response.Error.Code)
	case err == nil:
		s.note("%s: rolled as generation %d", what, generation)
	}
	return err
}

// inForce notes and returns the generation in force at each instance; 0 stands for none.
func (s *session) inForce() (generations []corefleet.Generation) {
	for _, i := range s.fleet.Instances {
		generations = append(generations, i.Daemon.Board().Bundle.Generation())
	}
	s.note("in force: %s", strings.Trim(fmt.Sprint(generations), "[]"))
	return generations
}

// watchReverts fails the test if the generation in force falls at an instance that runs now, until stop is called.
func (s *session) watchReverts() (stop func()) {
	var boards []*blackboard.Board
	for _, i := range s.fleet.Instances {
		boards = append(boards, i.Daemon.Board())
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		highest := make([]corefleet.Generation, len(boards))
		for ctx.Err() == nil {
			for n, board := range boards {
				generation := board.Bundle.Generation()
				if generation < highest[n] {
					s.t.Errorf("%s reverted from generation %d to %d", s.fleet.Instances[n].ID, highest[n], generation)
				}
				highest[n] = generation
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// part separates one instance from the store, the instance list and the other instances.
func (s *session) part(instance int) {
	own := s.network.Names(string(s.fleet.Instances[instance].ID))
	others := append(s.network.Names("store"), s.network.Names("list")...)
	for n, i := range s.fleet.Instances {
		if n != instance {
			others = append(others, s.network.Names(string(i.ID))...)
		}
	}
	s.network.Partition(own, others)
	s.note("instance-%d is cut off from the store and its peers", instance+1)
}

func bundles() []scenario {
	all := func(generation corefleet.Generation) []corefleet.Generation {
		return []corefleet.Generation{generation, generation, generation}
	}
	return []scenario{
		{
			name:   "bundle-race",
			guards: "two operators who both believe that their change is in force, or a loser whose change cannot be made again",
			play: func(s *session) []string {
				defer s.watchReverts()()
				near, far := s.prepare(0, "near"), s.prepare(2, "far")
				lost := make(chan error)
				go func() { lost <- s.roll(far, "far") }() // its instance is farther from the store
				require.NoError(s.t, s.roll(near, "near"))
				require.Error(s.t, <-lost)
				time.Sleep(inForceWithin)
				require.Equal(s.t, all(2), s.inForce())
				require.NoError(s.t, s.roll(near, "near again"), "a resend")
				require.NoError(s.t, s.roll(s.prepare(2, "far"), "far, made again"))
				time.Sleep(inForceWithin)
				require.Equal(s.t, all(3), s.inForce())
				for n, key := range []string{"near", "far", "near"} {
					r := chat(n, fmt.Sprintf("by-%s-at-%d", key, n+1), true, 1)
					r.apiKey = key
					require.Equal(s.t, 200, s.send(r, nil).status)
				}
				return nil
			},
		},
		{
			name:   "bundle-parted-region",
			guards: "a region that stays on an old bundle after its link returns, or brings its old bundle back",
			play: func(s *session) []string {
				defer s.watchReverts()()
				s.part(2)
				require.NoError(s.t, s.roll(s.prepare(0, "w3"), "w3"))
				time.Sleep(inForceWithin)
				require.NoError(s.t, s.roll(s.prepare(1, "w4"), "w4"))
				require.Error(s.t, s.roll(s.prepare(2, "w5"), "w5 at the parted instance"))
				time.Sleep(time.Minute)
				require.Equal(s.t, []corefleet.Generation{3, 3, 1}, s.inForce())
				requireWhole(s.t, s.send(chat(2, "served-while-parted", true, 1), nil), 1)
				s.network.Heal()
				s.note("the link returns")
				time.Sleep(10 * time.Second) // dead members are probed every 5 s
				require.Equal(s.t, all(3), s.inForce())
				return nil
			},
		},
		{
			name:   "bundle-start-among-old-peers",
			guards: "an instance that starts while the store is down with an older peer's bundle although it could know the newer one",
			play: func(s *session) []string {
				defer s.watchReverts()()
				s.part(1)
				require.NoError(s.t, s.roll(s.prepare(0, "w3"), "w3"))
				time.Sleep(inForceWithin)
				require.Equal(s.t, []corefleet.Generation{2, 1, 2}, s.inForce())
				starting := s.fleet.Instances[2]
				require.NoError(s.t, s.fleet.Crash(starting))
				s.fleet.Store.Down(true)
				s.network.Heal()
				s.network.Partition(s.network.Names("instance-1"), s.network.Names("instance-2"))
				s.note("the store goes down; instance-3 is lost and starts again, instance-2 still has the older bundle")
				require.NoError(s.t, s.fleet.Launch(starting))
				defer s.watchReverts()()
				time.Sleep(10 * time.Second)
				require.Equal(s.t, all(2), s.inForce(), "instance-2 hears of it from instance-3")
				s.fleet.Store.Down(false)
				return nil
			},
		},
	}
}
