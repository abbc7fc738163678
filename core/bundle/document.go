// Package bundle owns the operators' versioned configuration: its document, validation, sections and digests, signatures,
// differences, and the rule that a generation in force never reverts.
package bundle

import "eelgrassproxy.example/core/fleet"

// Document is a whole bundle as operators write it in YAML. Field names are the same in YAML and in canonical JSON.
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

// Link bounds the traffic between regions, each direction.
type Link struct {
	BytesPerSecond       int64 `yaml:"bytes_per_second" json:"bytes_per_second"`             // 0 means unlimited
	OnlineReservePercent int   `yaml:"online_reserve_percent" json:"online_reserve_percent"` // share that batch may not use, 0 to 100
}

// Limits holds fleet-wide policy numbers. Zero values take the defaults named here.
type Limits struct {
	FirstTokenTimeoutMs int64 `yaml:"first_token_timeout_ms" json:"first_token_timeout_ms"` // default deadline for the first byte; default 10000
	ProgressTimeoutMs   int64 `yaml:"progress_timeout_ms" json:"progress_timeout_ms"`       // longest silence of a stream; default 2000
	QueueTimeoutMs      int64 `yaml:"queue_timeout_ms" json:"queue_timeout_ms"`             // longest wait in an admission queue; default 1000
	RetryBudgetPercent  int   `yaml:"retry_budget_percent" json:"retry_budget_percent"`     // retries allowed for each 100 requests; default 10
	BatchHarmPercent    int   `yaml:"batch_harm_percent" json:"batch_harm_percent"`         // rise of online p99 that batch may cause; default 2
}

// Model is a name that callers ask for and what it resolves to.
type Model struct {
	Name       string `yaml:"name" json:"name"`
	Base       string `yaml:"base" json:"base"`       // model that engines load
	Version    string `yaml:"version" json:"version"` // version of the base model
	Adapter    string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	MaxRunning int    `yaml:"max_running" json:"max_running"` // requests that one replica serves well at once
}

// Service is a plain service that requests are routed to by name.
type Service struct {
	Name       string      `yaml:"name" json:"name"`
	MaxRunning int         `yaml:"max_running" json:"max_running"` // requests that one replica serves well at once
	Operations []Operation `yaml:"operations" json:"operations"`
}

// Operation is one call of a plain service. An operation that is not idempotent runs at most once for each Idempotency-Key.
type Operation struct {
	Name       string `yaml:"name" json:"name"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent"`
}

// Placement is a wish for replicas of a model version.
type Placement struct {
	Base        string   `yaml:"base" json:"base"`
	Version     string   `yaml:"version" json:"version"`
	Adapters    []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	MinReplicas int      `yaml:"min_replicas" json:"min_replicas"`
	MaxReplicas int      `yaml:"max_replicas" json:"max_replicas"`
}

// Group holds what many callers have in common.
type Group struct {
	Name              string   `yaml:"name" json:"name"`
	Models            []string `yaml:"models" json:"models"`
	Services          []string `yaml:"services,omitempty" json:"services,omitempty"`
	RequestsPerSecond float64  `yaml:"requests_per_second" json:"requests_per_second"` // for each caller, over the whole fleet
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
