package engines

import (
	"slices"

	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
)

// RecordState stores an engine's reported role and models on the board. It changes nothing if they are the same as before.
func RecordState(board *blackboard.Board, id fleet.TargetID, state *api.EngineState) {
	models := ModelsOf(state)
	board.Targets.Change(id, func(entry *blackboard.TargetEntry) bool {
		if entry.Role == state.Role && entry.Models != nil && sameModels(entry.Models, models) {
			return false
		}
		entry.Role, entry.Models = state.Role, models
		return true
	})
}

// ModelsOf converts an engine's reported models. The result is never nil.
func ModelsOf(state *api.EngineState) []fleet.LoadedModel {
	models := make([]fleet.LoadedModel, len(state.Models))
	for i, m := range state.Models {
		models[i] = fleet.LoadedModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading.Or(false)}
	}
	return models
}

func sameModels(a, b []fleet.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && x.Loading == y.Loading && slices.Equal(x.Adapters, y.Adapters)
	})
}
