package placement

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the smoothed demand: short against the minutes of a load, long against a single burst.
	demandTime = 30 * time.Second
	// fullShare is the share of its max_running at which a replica counts as full, which triggers more replicas.
	fullShare = 0.8
	// targetShare is the share of its max_running that replicas should have after a change, so that the next one is not due at once.
	targetShare = 0.6
	// scaleDownAfter is how long fewer replicas must have been enough; it spans the usual time between two bursts.
	scaleDownAfter = 10 * time.Minute
)

// Scaler turns the demand for each version into a number of replicas. Its owner guards it.
type Scaler struct {
	states map[ModelVersion]*scaleState
}

type scaleState struct {
	smoothed  float64 // requests
	at        time.Time
	replicas  int
	lowSince  time.Time // zero while the present number is needed
	lowNeeded int       // most replicas needed since lowSince
}

// NewScaler returns a scaler that knows no demand.
func NewScaler() *Scaler { return &Scaler{states: make(map[ModelVersion]*scaleState)} }

// Update takes the requests running and waiting for each version at now and returns the wanted replicas of each wish. It rises as soon
// as the replicas are full, and falls only after fewer have been enough for scaleDownAfter.
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

// fall lowers the number to the most that was needed over scaleDownAfter.
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
