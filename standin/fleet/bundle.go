package fleet

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// Names of the sample bundle.
const (
	// CallerID is the client account of the sample bundle.
	CallerID fleet.CallerID = "workshop-1"
	// APIKey is the account's key. It protects stand-ins only.
	APIKey string = "sample-api-key-of-workshop-1"
	// OtherCallerID and OtherAPIKey are a second account, for fairness and isolation.
	OtherCallerID fleet.CallerID = "workshop-2"
	OtherAPIKey   string         = "sample-api-key-of-workshop-2"
	// Adapter is the adapter of the second model.
	Adapter string = "quotes-style"
	// Operator is the operator who signs the sample bundle.
	Operator string = "anna"
	// IssueOperation may not be repeated, LookupOperation may.
	IssueOperation  string = "issue"
	LookupOperation string = "lookup"
	// OperatorToken opens the operators' listeners of the sample fleet.
	OperatorToken string = "sample-operator-token"
	peerToken     string = "sample-peer-token-0123456789"
)

// engineMaxRunning is the number of requests that a stand-in engine serves well at once.
const engineMaxRunning = 16

// OperatorKey returns the sample operator's key. It is derived from a fixed seed, since it protects stand-ins only.
func OperatorKey() ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("sample operator key"))
	return ed25519.NewKeyFromSeed(seed[:])
}

// Document returns a bundle of the deployment with the generation.
func (d Deployment) Document(generation fleet.Generation) *bundle.Document {
	return &bundle.Document{
		Generation: generation,
		Topology: bundle.Topology{
			Regions: d.Regions,
			Link:    bundle.Link{BytesPerSecond: d.LinkBytesPerSecond, OnlineReservePercent: 50},
		},
		Models: []bundle.Model{
			{Name: d.Model, Base: d.Model, Version: d.Version, MaxRunning: engineMaxRunning},
			{Name: d.Model + "-quotes", Base: d.Model, Version: d.Version, Adapter: Adapter, MaxRunning: engineMaxRunning},
		},
		Services: []bundle.Service{{
			Name:       d.Service,
			MaxRunning: engineMaxRunning,
			Operations: []bundle.Operation{{Name: IssueOperation}, {Name: LookupOperation, Idempotent: true}},
		}},
		Placement: []bundle.Placement{{Base: d.Model, Version: d.Version, MinReplicas: 1, MaxReplicas: d.Replicas}},
		Groups: []bundle.Group{{
			Name:     "workshops",
			Models:   []string{d.Model, d.Model + "-quotes"},
			Services: []string{d.Service},
			Weight:   1,
		}},
		Callers: []bundle.Caller{
			{ID: CallerID, Group: "workshops", KeySHA256: digest(APIKey)},
			{ID: OtherCallerID, Group: "workshops", KeySHA256: digest(OtherAPIKey)},
		},
	}
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
