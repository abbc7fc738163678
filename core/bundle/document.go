// Package bundle implements the bundle, the operators' signed and versioned configuration: the YAML document and its validation,
// sections and their digests, signatures, deltas between generations, and the rule that an accepted generation is never replaced by
// an older one.
package bundle

import "eelgrassproxy.example/core/fleet"

// Document is the complete content of a bundle as operators write it in YAML. Field names are the same in YAML and in canonical JSON.
type Document struct {
	Generation fleet.Generation `yaml:"generation" json:"generation"`
	Topology   Topology         `yaml:"topology" json:"topology"`
	Limits     Limits           `yaml:"limits" json:"limits"`
	Models     []Model          `yaml:"models" json:"models"`
	Services   []Service        `yaml:"services" json:"services"`
	Placement  []Placement      `yaml:"placement" json:"placement"`
	Groups     []Group          `yaml:"groups" json:"groups"`
	Callers    []Caller         `yaml:"callers" json:"callers"`
}

// Topology lists the regions and the link between them.
type Topology struct {
	Regions []Region `yaml:"regions" json:"regions"`
	Link    Link     `yaml:"link" json:"link"`
}

// Region is a named set of failure domains.
type Region struct {
	Name           fleet.Region          `yaml:"name" json:"name"`
	FailureDomains []fleet.FailureDomain `yaml:"failure_domains" json:"failure_domains"`
}

// Link limits the traffic between regions, separately for each direction.
type Link struct {
	BytesPerSecond       int64 `yaml:"bytes_per_second" json:"bytes_per_second"`             // 0 means unlimited
	OnlineReservePercent int   `yaml:"online_reserve_percent" json:"online_reserve_percent"` // share that batch may not use, 0 to 100
}

// Limits holds the timeouts and budgets that apply to the whole fleet. Zero values are replaced by the defaults stated here.
type Limits struct {
	FirstTokenTimeoutMs int64 `yaml:"first_token_timeout_ms" json:"first_token_timeout_ms"` // deadline for the first byte of a stream if the caller sets none; default 10000
	ProgressTimeoutMs   int64 `yaml:"progress_timeout_ms" json:"progress_timeout_ms"`       // longest time without a new event on a stream; default 2000
	QueueTimeoutMs      int64 `yaml:"queue_timeout_ms" json:"queue_timeout_ms"`             // longest wait in an admission queue; default 1000
	RetryBudgetPercent  int   `yaml:"retry_budget_percent" json:"retry_budget_percent"`     // retries allowed for each 100 requests; default 10
	BatchHarmPercent    int   `yaml:"batch_harm_percent" json:"batch_harm_percent"`         // rise of the online p99 latency that batch may cause, percent; default 2
}

// Model maps the name that callers request to a base model, its version and an optional adapter.
type Model struct {
	Name       string `yaml:"name" json:"name"`
	Base       string `yaml:"base" json:"base"`       // base model that engines load
	Version    string `yaml:"version" json:"version"` // version of the base model
	Adapter    string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	MaxRunning int    `yaml:"max_running" json:"max_running"` // concurrent requests that one replica serves well
}

// Service is a plain service, which requests address by its name.
type Service struct {
	Name       string      `yaml:"name" json:"name"`
	MaxRunning int         `yaml:"max_running" json:"max_running"` // concurrent requests that one replica serves well
	Operations []Operation `yaml:"operations" json:"operations"`
}

// Operation is a kind of request that a plain service offers. A request to an operation that is not idempotent runs at most once for
// each Idempotency-Key.
type Operation struct {
	Name       string `yaml:"name" json:"name"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent"`
}

// Placement states how many replicas of a base model version should run, and which adapters they should have loaded.
type Placement struct {
	Base        string   `yaml:"base" json:"base"`
	Version     string   `yaml:"version" json:"version"`
	Adapters    []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	MinReplicas int      `yaml:"min_replicas" json:"min_replicas"`
	MaxReplicas int      `yaml:"max_replicas" json:"max_replicas"`
}

// Group holds the permissions and rate limits that its callers share.
type Group struct {
	Name              string   `yaml:"name" json:"name"`
	Models            []string `yaml:"models" json:"models"`
	Services          []string `yaml:"services,omitempty" json:"services,omitempty"`
	RequestsPerSecond float64  `yaml:"requests_per_second" json:"requests_per_second"` // of each caller, over the whole fleet
	Burst             int      `yaml:"burst" json:"burst"`
	Weight            int      `yaml:"weight" json:"weight"` // share under contention; default 1
}

// Caller is a client account.
type Caller struct {
	ID        fleet.CallerID `yaml:"id" json:"id"`
	Group     string         `yaml:"group" json:"group"`
	KeySHA256 string         `yaml:"key_sha256" json:"key_sha256"` // hexadecimal SHA-256 of the API key
	Disabled  bool           `yaml:"disabled,omitempty" json:"disabled,omitempty"`
}
