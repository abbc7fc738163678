package placement

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of the smoothed demand: shorter than a model load, which takes minutes, and longer than a single
	// burst.
	smoothingTime = 30 * time.Second
	// scaleUpUtilisation is the utilisation of max_running above which replicas count as full and more are added.
	scaleUpUtilisation = 0.8
	// targetUtilisation is the utilisation of max_running that replicas should have after a change, so that the next change is not due at
	// once.
	targetUtilisation = 0.6
	// scaleDownDelay is the time for which fewer replicas must have been enough before the number is lowered. It is longer than the usual
	// time between two bursts.
	scaleDownDelay = 10 * time.Minute
)

// Scaler computes the number of replicas of each version from the demand. It is not safe for concurrent use; its owner must serialize all
// calls.
type Scaler struct {
	states map[ModelVersion]*scaleState
}

type scaleState struct {
	smoothed     float64   // smoothed demand in requests
	updatedAt    time.Time // time of the last update
	replicas     int       // wanted replicas
	lowSince     time.Time // time since which fewer replicas have been enough; zero while all are needed
	lowMaxNeeded int       // most replicas needed since lowSince
}

// NewScaler returns a scaler without any demand.
func NewScaler() *Scaler { return &Scaler{states: make(map[ModelVersion]*scaleState)} }

// Update records the demand at now, which is the number of requests running and waiting for each version, and returns the wanted replicas of
// each spec. The number rises as soon as the replicas are full, and falls only after fewer have been enough for scaleDownDelay. The state of
// versions without a spec is dropped.
func (s *Scaler) Update(now time.Time, specs []ReplicaSpec, demand map[ModelVersion]float64) map[ModelVersion]int {
	wanted := make(map[ModelVersion]int, len(specs))
	states := make(map[ModelVersion]*scaleState, len(specs))
	for i := range specs {
		spec := &specs[i]
		state := s.states[spec.ModelVersion]
		if state == nil {
			state = &scaleState{updatedAt: now, replicas: spec.Min}
		}
		states[spec.ModelVersion] = state
		wanted[spec.ModelVersion] = state.update(now, spec, demand[spec.ModelVersion])
	}
	s.states = states
	return wanted
}

func (s *scaleState) update(now time.Time, spec *ReplicaSpec, demand float64) int {
	weight := 1 - math.Exp(-now.Sub(s.updatedAt).Seconds()/smoothingTime.Seconds())
	s.smoothed += weight * (demand - s.smoothed)
	s.updatedAt = now
	perReplica := float64(max(1, spec.MaxRunning))
	needed := min(max(int(math.Ceil(s.smoothed/(perReplica*targetUtilisation))), spec.Min), spec.Max)
	if s.smoothed > perReplica*scaleUpUtilisation*float64(s.replicas) {
		s.replicas = max(s.replicas, needed)
	}
	s.scaleDown(now, needed)
	s.replicas = min(max(s.replicas, spec.Min), spec.Max)
	return s.replicas
}

// scaleDown lowers the number of replicas to the most that were needed within scaleDownDelay, once fewer have been enough for that long.
func (s *scaleState) scaleDown(now time.Time, needed int) {
	if needed >= s.replicas {
		s.lowSince = time.Time{}
		return
	}
	if s.lowSince.IsZero() {
		s.lowSince, s.lowMaxNeeded = now, needed
	}
	s.lowMaxNeeded = max(s.lowMaxNeeded, needed)
	if now.Sub(s.lowSince) >= scaleDownDelay {
		s.replicas = s.lowMaxNeeded
		s.lowSince = time.Time{}
	}
}
