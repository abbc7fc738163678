package entry

import (
	"sync"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
	"eelgrassproxy.example/node/blackboard"
)

// versions tells which version of a model requests use while a new one is being loaded. It computes the answer again when the targets or
// the bundle have changed.
type versions struct {
	board *blackboard.Board

	mu         sync.Mutex // guards the fields below; a leaf
	revision   uint64
	generation fleet.Generation
	engines    []placement.Engine
	wishes     []placement.Wish
	models     []bundle.Model
	resolved   map[string]*bundle.Model // by the model's name
}

func newVersions(board *blackboard.Board) *versions { return &versions{board: board} }

// serving returns the model as the bundle has it, or a copy with the version that still serves in its place.
func (v *versions) serving(b *bundle.Active, m *bundle.Model) *bundle.Model {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision := v.board.Targets.Revision()
	if v.resolved == nil || v.revision != revision || v.generation != b.Generation() {
		v.refresh(b, revision)
	}
	resolved := v.resolved[m.Name]
	if resolved == nil {
		resolved = m
		if version := placement.Serving(m, v.models, v.wishes, v.engines); version != m.Version {
			other := *m
			other.Version = version
			resolved = &other
		}
		v.resolved[m.Name] = resolved
	}
	return resolved
}

func (v *versions) refresh(b *bundle.Active, revision uint64) {
	v.revision, v.generation = revision, b.Generation()
	v.models = b.AllModels()
	v.wishes = placement.Wishes(b.Placement(), v.models)
	v.resolved = make(map[string]*bundle.Model)
	v.engines = v.engines[:0]
	for _, t := range v.board.Targets.All() {
		if t.Kind == fleet.KindEngine {
			v.engines = append(v.engines, placement.Engine{ID: t.ID, Leaving: t.State != fleet.TargetLive, Models: t.Models, Role: t.Role})
		}
	}
}
