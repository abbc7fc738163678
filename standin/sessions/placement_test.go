package sessions

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/standin/fleet"
)

func placements() []scenario {
	return []scenario{{
		name:   "version-rolled",
		guards: "requests that fail while a new version replaces the old one, and replicas that fall below the minimum meanwhile",
		adjust: func(o *fleet.Options) {
			o.EmptyEngines = true
			o.Deployment.Replicas = 6
		},
		play: playRoll,
	}}
}

const (
	rollMinimum    = 3
	trafficPeriod  = 500 * time.Millisecond
	placementBound = 5 * time.Minute
)

// playRoll lets the fleet load version 1 into empty engines, rolls a bundle that names version 2 instead under traffic, and waits until
// version 1 is gone.
func playRoll(s *session) []string {
	s.awaitPlaced("1", 1)
	stop := s.traffic()
	wished := bundle.Placement{Base: "bench-assist", Version: "1", MinReplicas: rollMinimum, MaxReplicas: rollMinimum}
	doc := s.fleet.Deployment.Document(2)
	doc.Placement = []bundle.Placement{wished}
	s.rollDocument(doc)
	s.awaitPlaced("1", rollMinimum)
	doc = s.fleet.Deployment.Document(3)
	for i := range doc.Models {
		doc.Models[i].Version = "2"
	}
	wished.Version = "2"
	doc.Placement = []bundle.Placement{wished}
	s.rollDocument(doc)
	s.awaitPlaced("2", rollMinimum)
	s.awaitPlaced("1", 0)
	require.Equal(s.t, rollMinimum, s.serving("2"))
	s.note("%d requests, all answered", stop())
	s.events = onlyNotes(s.events)
	var decisions []string
	for i := range s.fleet.Deployment.Replicas {
		decisions = append(decisions, fmt.Sprintf("placement-engine-%d", i+1))
	}
	return decisions
}

func (s *session) rollDocument(doc *bundle.Document) {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	require.NoError(s.t, s.fleet.Roll(ctx, doc))
	s.note("bundle %d is rolled", doc.Generation)
}

// serving returns the number of engines that serve the version with the adapter, by what the engines say themselves.
func (s *session) serving(version string) int {
	n := 0
	for _, e := range s.fleet.Engines {
		if e.Serves("bench-assist", version, fleet.Adapter) {
			n++
		}
	}
	return n
}

func (s *session) awaitPlaced(version string, replicas int) {
	start := time.Now()
	for s.serving(version) != replicas {
		require.Less(s.t, time.Since(start), placementBound, "version %s serves at %d engines instead of %d", version, s.serving(version), replicas)
		if s.serving("2") < rollMinimum && s.reachedMinimum {
			require.GreaterOrEqual(s.t, s.serving("1"), rollMinimum)
		}
		s.reachedMinimum = s.reachedMinimum || s.serving("1") == rollMinimum
		time.Sleep(100 * time.Millisecond)
	}
	s.note("version %s serves at %d engines", version, replicas)
}

// traffic sends requests to all instances in turn until the returned function is called, which returns their number.
func (s *session) traffic() (stop func() int) {
	done := make(chan struct{})
	sent := 0
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(trafficPeriod):
			}
			a := s.do(chat(sent%len(s.fleet.Instances), fmt.Sprintf("t%d", sent), true, 3), nil)
			if a.status != 200 || !strings.Contains(a.body, "[DONE]") {
				s.t.Errorf("request t%d: status %d, error %v: %s", sent, a.status, a.err, a.body)
			}
			sent++
		}
	})
	return func() int {
		close(done)
		group.Wait()
		return sent
	}
}

// onlyNotes drops the calls of the traffic, which do not belong into the golden file.
func onlyNotes(events []event) []event {
	var notes []event
	for _, e := range events {
		if !strings.Contains(e.text, " <- ") {
			notes = append(notes, e)
		}
	}
	return notes
}
