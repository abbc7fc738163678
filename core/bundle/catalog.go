package bundle

import (
	"reflect"

	"eelgrassproxy.example/core/fleet"
)

// catalog indexes all of a bundle except its callers. It is immutable once built.
type catalog struct {
	limits    Limits
	topology  fleet.Topology
	link      Link
	placement []Placement
	models    map[string]*Model
	services  map[string]*service
	groups    map[string]*groupAccess
}

// service is a Service with its operations by name.
type service struct {
	Service
	operations map[string]*Operation
}

// groupAccess is a group with the models and services that its callers may use, by name.
type groupAccess struct {
	group     *Group
	models    map[string]*Model
	modelList []Model // ordered by name
	services  map[string]*service
}

// newCatalog indexes a valid, normalized document without its callers. Groups equal to those of the previous catalog reuse its *Group,
// so that the index entries of their callers stay valid. previous may be nil.
func newCatalog(doc *Document, previous *catalog) *catalog {
	c := &catalog{
		limits:    doc.Limits.WithDefaults(),
		topology:  doc.Topology.index(),
		link:      doc.Topology.Link,
		placement: doc.Placement,
		models:    make(map[string]*Model, len(doc.Models)),
		services:  make(map[string]*service, len(doc.Services)),
		groups:    make(map[string]*groupAccess, len(doc.Groups)),
	}
	for i := range doc.Models {
		c.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		c.services[doc.Services[i].Name] = newService(&doc.Services[i])
	}
	for i := range doc.Groups {
		group := withGroupDefaults(doc.Groups[i])
		c.groups[group.Name] = c.newGroupAccess(previous.reuseGroup(group))
	}
	return c
}

// index returns the topology as the map from failure domain to region that routing uses.
func (t Topology) index() fleet.Topology {
	out := fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{}}
	for _, r := range t.Regions {
		for _, fd := range r.FailureDomains {
			out.RegionOf[fd] = r.Name
		}
	}
	return out
}

func newService(s *Service) *service {
	out := &service{Service: *s, operations: make(map[string]*Operation, len(s.Operations))}
	for i := range s.Operations {
		out.operations[s.Operations[i].Name] = &s.Operations[i]
	}
	return out
}

func withGroupDefaults(g Group) *Group {
	orDefault(&g.Weight, DefaultGroupWeight)
	return &g
}

// reuseGroup returns the catalog's group of the same name if it equals the given one, otherwise the given one. The catalog may be nil.
func (c *catalog) reuseGroup(group *Group) *Group {
	if c == nil {
		return group
	}
	if old := c.groups[group.Name]; old != nil && reflect.DeepEqual(old.group, group) {
		return old.group
	}
	return group
}

func (c *catalog) newGroupAccess(group *Group) *groupAccess {
	out := &groupAccess{
		group:    group,
		models:   make(map[string]*Model, len(group.Models)),
		services: make(map[string]*service, len(group.Services)),
	}
	for _, name := range group.Models {
		model := c.models[name]
		out.models[name] = model
		out.modelList = append(out.modelList, *model)
	}
	for _, name := range group.Services {
		out.services[name] = c.services[name]
	}
	return out
}
