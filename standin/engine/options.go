// Package engine is a small stand-in for a model engine: continuous batching with a service-time model, a prefix cache, resumable
// streams and orders, behind the generated server of api/engine. It runs on timers only, so that tests use virtual time.
package engine

import "time"

// Options are the parameters of an Engine. Zero values take the defaults of DefaultOptions where a zero makes no sense.
type Options struct {
	// PrefillPerToken is the time that each prompt token outside the prefix cache adds to the step that admits the request.
	PrefillPerToken time.Duration
	// StepBase is the duration of a decode step without sequences.
	StepBase time.Duration
	// StepPerSequence is what each running sequence adds to a step.
	StepPerSequence time.Duration
	// StepJitter is the largest random addition to a step, drawn with Seed.
	StepJitter time.Duration
	// MaxRunning is the largest number of sequences in the batch.
	MaxRunning int
	// KVBlocks is the number of blocks in the KV cache.
	KVBlocks int
	// BlockTokens is the number of prompt tokens in a block; a token is a word between spaces.
	BlockTokens int
	// DefaultTokens is the length of an answer whose request states no max_tokens.
	DefaultTokens int
	// Models are loaded from the start.
	Models []Model
	// LoadDuration is how long load_model and load_adapter take.
	LoadDuration time.Duration
	// LoadLag is the interval between samples of the load; zero reports the present.
	LoadLag time.Duration
	// CacheEventLag delays the publication of cache events.
	CacheEventLag time.Duration
	// CacheEventGapEvery drops each n-th cache event from what is published; zero drops none.
	CacheEventGapEvery int
	// StreamRetention is how long an ended stream can be resumed.
	StreamRetention time.Duration
	// IgnoreFencing accepts orders with a stale fencing number.
	IgnoreFencing bool
	// DedupeRequestIDs attaches a second request with a known id to the first run instead of running it again.
	DedupeRequestIDs bool
	// Seed makes random choices repeatable.
	Seed uint64
}

// Model is one model version with its adapters. A request names it as "model", as "model@version" or by an adapter.
type Model struct {
	Name     string
	Version  string
	Adapters []string
}

// DefaultOptions returns parameters of the size of one mid-range accelerator: 10 ms decode steps and 0.1 ms per prompt token.
func DefaultOptions() Options {
	return Options{
		PrefillPerToken: 100 * time.Microsecond,
		StepBase:        10 * time.Millisecond,
		StepPerSequence: 200 * time.Microsecond,
		MaxRunning:      32,
		KVBlocks:        1000,
		BlockTokens:     16,
		DefaultTokens:   16,
		LoadDuration:    10 * time.Second,
		LoadLag:         250 * time.Millisecond,
		StreamRetention: time.Minute,
	}
}

// withDefaults fills the fields for which zero makes no sense.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	if o.StepBase == 0 {
		o.StepBase = d.StepBase
	}
	if o.MaxRunning == 0 {
		o.MaxRunning = d.MaxRunning
	}
	if o.KVBlocks == 0 {
		o.KVBlocks = d.KVBlocks
	}
	if o.BlockTokens == 0 {
		o.BlockTokens = d.BlockTokens
	}
	if o.DefaultTokens == 0 {
		o.DefaultTokens = d.DefaultTokens
	}
	if o.StreamRetention == 0 {
		o.StreamRetention = d.StreamRetention
	}
	return o
}
