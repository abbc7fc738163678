// Package fleet runs a whole fleet in one process: the platform's stand-ins, engines, a plain service and real instances, on loopback
// for the quick start or on an in-memory network for tests on virtual time.
package fleet

import (
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// Deployment describes one user's fleet.
type Deployment struct {
	Name     string
	Regions  []bundle.Region
	Model    string // base name and caller-visible name of the main model
	Version  string
	Service  string // name of the plain service
	Replicas int
	// OneWay latencies between failure domains.
	WithinDomain  time.Duration
	WithinRegion  time.Duration
	BetweenRegion time.Duration
	// LinkBytesPerSecond is the width of the link between the regions, each way.
	LinkBytesPerSecond int64
	StoreDomain        fleet.FailureDomain
}

// linkBytesPerSecond is 30 Mbit/s, "a few tens of megabits".
const linkBytesPerSecond = 30_000_000 / 8

// Draadwerk returns the deployment of the lamp rewiring workshops: a dozen replicas of bench-assist.
func Draadwerk() Deployment {
	return Deployment{
		Name: "draadwerk",
		Regions: []bundle.Region{
			{Name: "randstad", FailureDomains: []fleet.FailureDomain{"randstad-a", "randstad-b"}},
			{Name: "brabant", FailureDomains: []fleet.FailureDomain{"brabant-a"}},
		},
		Model:              "bench-assist",
		Version:            "1",
		Service:            "quotes",
		Replicas:           12,
		WithinDomain:       200 * time.Microsecond,
		WithinRegion:       1500 * time.Microsecond,
		BetweenRegion:      12 * time.Millisecond,
		LinkBytesPerSecond: linkBytesPerSecond,
		StoreDomain:        "randstad-a",
	}
}

// Norrsken returns the deployment of the playbill advertising desk: nine replicas of annonsmotor.
func Norrsken() Deployment {
	return Deployment{
		Name: "norrsken",
		Regions: []bundle.Region{
			{Name: "svealand", FailureDomains: []fleet.FailureDomain{"sthlm-a", "uppsala-b"}},
			{Name: "gotaland", FailureDomains: []fleet.FailureDomain{"gbg-a"}},
		},
		Model:              "annonsmotor",
		Version:            "1",
		Service:            "bills",
		Replicas:           9,
		WithinDomain:       200 * time.Microsecond,
		WithinRegion:       1500 * time.Microsecond,
		BetweenRegion:      12 * time.Millisecond,
		LinkBytesPerSecond: linkBytesPerSecond,
		StoreDomain:        "sthlm-a",
	}
}

// Domains returns the failure domains in order.
func (d Deployment) Domains() []fleet.FailureDomain {
	var domains []fleet.FailureDomain
	for _, r := range d.Regions {
		domains = append(domains, r.FailureDomains...)
	}
	return domains
}

// Topology returns the deployment's topology.
func (d Deployment) Topology() fleet.Topology {
	topology := fleet.Topology{RegionOf: make(map[fleet.FailureDomain]fleet.Region)}
	for _, r := range d.Regions {
		for _, domain := range r.FailureDomains {
			topology.RegionOf[domain] = r.Name
		}
	}
	return topology
}

// OneWay returns the latency from one failure domain to another.
func (d Deployment) OneWay(from, to fleet.FailureDomain) time.Duration {
	switch d.Topology().Distance(from, to) {
	case fleet.SameFailureDomain:
		return d.WithinDomain
	case fleet.SameRegion:
		return d.WithinRegion
	default:
		return d.BetweenRegion
	}
}
