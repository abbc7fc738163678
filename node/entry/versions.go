package entry

import (
	"sync"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
	"eelgrassproxy.example/node/blackboard"
)

// versions determines which version of a model serves requests while a new version is being loaded. Its results are cached until the
// targets or the bundle change. It is safe for concurrent use.
type versions struct {
	board *blackboard.Board

	mu         sync.Mutex // guards the fields below; no other lock is acquired while it is held
	revision   uint64
	generation fleet.Generation
	engines    []placement.Engine
	wishes     []placement.ReplicaSpec
	models     []bundle.Model
	resolved   map[string]*bundle.Model // by model name
}

func newVersions(board *blackboard.Board) *versions { return &versions{board: board} }

// servingModel returns the bundle's model, or a copy of it with the older version that still serves requests.
func (v *versions) servingModel(b *bundle.Active, m *bundle.Model) *bundle.Model {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision := v.board.Targets.Revision()
	if v.resolved == nil || v.revision != revision || v.generation != b.Generation() {
		v.refresh(b, revision)
	}
	resolved := v.resolved[m.Name]
	if resolved == nil {
		resolved = m
		if version := placement.ServingVersion(m, v.models, v.wishes, v.engines); version != m.Version {
			other := *m
			other.Version = version
			resolved = &other
		}
		v.resolved[m.Name] = resolved
	}
	return resolved
}

// refresh reads the targets and the bundle and clears the cached results. The caller must hold v.mu.
func (v *versions) refresh(b *bundle.Active, revision uint64) {
	v.revision, v.generation = revision, b.Generation()
	v.models = b.AllModels()
	v.wishes = placement.ReplicaSpecs(b.Placement(), v.models)
	v.resolved = make(map[string]*bundle.Model)
	v.engines = v.engines[:0]
	for _, t := range v.board.Targets.All() {
		if t.Kind == fleet.KindEngine {
			v.engines = append(v.engines, placement.Engine{ID: t.ID, Leaving: t.State != fleet.TargetLive, Models: t.Models, Role: t.Role})
		}
	}
}
