package engine

// faults are mistakes that tests ask for, by request id.
type faults struct {
	crossed  map[string]string
	endEarly map[string]int
}

func newFaults() faults {
	return faults{crossed: map[string]string{}, endEarly: map[string]int{}}
}

// Cross makes the connections of one request deliver the events of another request after their first event.
func (e *Engine) Cross(id, other string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossed[id] = other
}

// EndEarly makes the next connection of the request end normally after n events, without the end of the stream.
func (e *Engine) EndEarly(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.endEarly[id] = n
}
