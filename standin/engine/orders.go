package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	api "eelgrassproxy.example/api/engine"
)

// loaded is a model version that the engine holds or is loading.
type loaded struct {
	Model
	loading bool
}

// serves tells whether a request for the name runs on this model.
func (l *loaded) serves(name string) bool {
	return name == l.Name || name == l.Name+"@"+l.Version || slices.Contains(l.Adapters, name)
}

func (e *Engine) holds(name string) bool {
	return slices.ContainsFunc(e.models, func(l *loaded) bool { return l.serves(name) })
}

// loading tells whether the model exists only as a version that is still being loaded.
func (e *Engine) loading(name string) bool {
	found := false
	for _, l := range e.models {
		if l.serves(name) {
			if !l.loading {
				return false
			}
			found = true
		}
	}
	return found
}

// Serves tells whether the engine holds the version and the adapter and has loaded both.
func (e *Engine) Serves(name, version, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.find(name, version)
	return l != nil && !l.loading && slices.Contains(l.Adapters, adapter)
}

func (e *Engine) find(name, version string) *loaded {
	i := slices.IndexFunc(e.models, func(l *loaded) bool { return l.Name == name && l.Version == version })
	if i < 0 {
		return nil
	}
	return e.models[i]
}

func (e *Engine) state() *api.EngineState {
	state := &api.EngineState{Fence: e.fence, Role: e.role, Models: []api.LoadedModel{}}
	for _, l := range e.models {
		state.Models = append(state.Models, api.LoadedModel{
			Model:    l.Name,
			Version:  l.Version,
			Loading:  api.NewOptBool(l.loading),
			Adapters: append([]string{}, l.Adapters...),
		})
	}
	return state
}

func failure(status int, code, format string, args ...any) *api.ErrorStatusCode {
	detail := api.ErrorResponseError{Code: code, Message: fmt.Sprintf(format, args...)}
	return &api.ErrorStatusCode{StatusCode: status, Response: api.ErrorResponse{Error: detail}}
}

// Order implements the order operation. An order with a fencing number below the highest one seen is refused with 409.
func (h handler) Order(_ context.Context, order *api.Order) (api.OrderRes, error) {
	e := h.Engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence && !e.options.IgnoreFencing {
		return failure(http.StatusConflict, "stale_fence", "fence %d is below %d", order.Fence, e.fence), nil
	}
	if problem := e.apply(order); problem != nil {
		return problem, nil
	}
	e.fence = max(e.fence, order.Fence)
	return e.state(), nil
}

func (e *Engine) apply(order *api.Order) *api.ErrorStatusCode {
	name, version := order.Model.Or(""), order.Version.Or("")
	switch order.Action {
	case api.OrderActionLoadModel:
		e.loadModel(name, version)
		return nil
	case api.OrderActionUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(l *loaded) bool { return l.Name == name && l.Version == version })
		return nil
	case api.OrderActionSetRole:
		e.role = string(order.Role.Or(api.OrderRoleAny))
		return nil
	}
	l := e.find(name, version)
	if l == nil {
		return failure(http.StatusNotFound, "model_not_loaded", "model %q version %q is not loaded", name, version)
	}
	adapter := order.Adapter.Or("")
	if order.Action == api.OrderActionUnloadAdapter {
		l.Adapters = slices.DeleteFunc(l.Adapters, func(a string) bool { return a == adapter })
		return nil
	}
	e.later(func() {
		if !slices.Contains(l.Adapters, adapter) {
			l.Adapters = append(l.Adapters, adapter)
		}
	})
	return nil
}

func (e *Engine) loadModel(name, version string) {
	if e.find(name, version) != nil {
		return
	}
	l := &loaded{Model: Model{Name: name, Version: version}, loading: true}
	e.models = append(e.models, l)
	e.later(func() { l.loading = false })
}

// later applies a change after LoadDuration, unless the engine was closed.
func (e *Engine) later(change func()) {
	time.AfterFunc(e.options.LoadDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		change()
		e.nudge()
	})
}
