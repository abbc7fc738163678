package placement

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the smoothed demand: shorter than a model load, which takes minutes, and longer than a single burst.
	demandTime = 30 * time.Second
	// fullShare is the utilisation of max_running above which replicas count as full and more are added.
	fullShare = 0.8
	// targetShare is the utilisation of max_running that replicas should have after a change, so that the next change is not due at once.
	targetShare = 0.6
	// scaleDownAfter is the time for which fewer replicas must have been enough before the number is lowered. It is longer than the usual
	// time between two bursts.
	scaleDownAfter = 10 * time.Minute
)

// Scaler computes the number of replicas of each version from the demand. It is not safe for concurrent use; its owner must serialize all
// calls.
type Scaler struct {
	states map[ModelVersion]*scaleState
}

type scaleState struct {
	smoothed  float64   // smoothed demand in requests
	at        time.Time // time of the last update
	replicas  int       // wanted replicas
	lowSince  time.Time // time since which fewer replicas have been enough; zero while all are needed
	lowNeeded int       // most replicas needed since lowSince
}

// NewScaler returns a scaler without any demand.
func NewScaler() *Scaler { return &Scaler{states: make(map[ModelVersion]*scaleState)} }

// Update records the demand at now, which is the number of requests running and waiting for each version, and returns the wanted replicas of
// each wish. The number rises as soon as the replicas are full, and falls only after fewer have been enough for scaleDownAfter. Versions
// without a wish are dropped.
func (s *Scaler) Update(now time.Time, wishes []Wish, demand map[ModelVersion]float64) map[ModelVersion]int {
	wanted := make(map[ModelVersion]int, len(wishes))
	known := make(map[ModelVersion]*scaleState, len(wishes))
	for i := range wishes {
		w := &wishes[i]
		state := s.states[w.ModelVersion]
		if state == nil {
			state = &scaleState{at: now, replicas: w.Min}
		}
		known[w.ModelVersion] = state
		wanted[w.ModelVersion] = state.update(now, w, demand[w.ModelVersion])
	}
	s.states = known
	return wanted
}

func (s *scaleState) update(now time.Time, w *Wish, demand float64) int {
	weight := 1 - math.Exp(-now.Sub(s.at).Seconds()/demandTime.Seconds())
	s.smoothed += weight * (demand - s.smoothed)
	s.at = now
	perReplica := float64(max(1, w.MaxRunning))
	needed := min(max(int(math.Ceil(s.smoothed/(perReplica*targetShare))), w.Min), w.Max)
	if s.smoothed > perReplica*fullShare*float64(s.replicas) {
		s.replicas = max(s.replicas, needed)
	}
	s.fall(now, needed)
	s.replicas = min(max(s.replicas, w.Min), w.Max)
	return s.replicas
}

// fall lowers the number of replicas to the most that were needed within scaleDownAfter, once fewer have been enough for that long.
func (s *scaleState) fall(now time.Time, needed int) {
	if needed >= s.replicas {
		s.lowSince = time.Time{}
		return
	}
	if s.lowSince.IsZero() {
		s.lowSince, s.lowNeeded = now, needed
	}
	s.lowNeeded = max(s.lowNeeded, needed)
	if now.Sub(s.lowSince) >= scaleDownAfter {
		s.replicas = s.lowNeeded
		s.lowSince = time.Time{}
	}
}
