package bundle

import (
	"cmp"
	"slices"
)

// AllModels returns every model of the bundle, ordered by name.
func (a *Active) AllModels() []Model {
	models := make([]Model, 0, len(a.catalog.models))
	for _, m := range a.catalog.models {
		models = append(models, *m)
	}
	slices.SortFunc(models, func(x, y Model) int { return cmp.Compare(x.Name, y.Name) })
	return models
}
