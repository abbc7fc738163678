package gateway_test

// eventFunc is an ItemSink with enough memory.
type eventFunc func([]byte)

func (f eventFunc) Event(data []byte) error {
	f(data)
	return nil
}

func (eventFunc) Reserve(int64) bool { return true }

func (eventFunc) Release(int64) {}
