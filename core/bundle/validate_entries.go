package bundle

import (
	"encoding/hex"
	"fmt"

	"eelgrassproxy.example/core/fleet"
)

// models checks the models and returns the set of their names, as services and groups do for theirs.
func (v *validator) models(models []Model) map[string]bool {
	seen := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		v.name(path+".name", m.Name)
		v.unique(path+".name", m.Name, seen)
		v.name(path+".base", m.Base)
		v.name(path+".version", m.Version)
		if m.Adapter != "" {
			v.name(path+".adapter", m.Adapter)
		}
		v.between(path+".max_running", float64(m.MaxRunning), 1, maxMaxRunning)
	}
	return seen
}

func (v *validator) services(services []Service) map[string]bool {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.name(path+".name", s.Name)
		v.unique(path+".name", s.Name, seen)
		v.between(path+".max_running", float64(s.MaxRunning), 1, maxMaxRunning)
		operations := map[string]bool{}
		for j, op := range s.Operations {
			opPath := fmt.Sprintf("%s.operations[%d].name", path, j)
			v.name(opPath, op.Name)
			v.unique(opPath, op.Name, operations)
		}
	}
	return seen
}

func (v *validator) placements(placements []Placement) {
	seen := map[string]bool{}
	for i, p := range placements {
		path := fmt.Sprintf("placement[%d]", i)
		v.name(path+".base", p.Base)
		v.name(path+".version", p.Version)
		v.unique(path, p.key(), seen)
		adapters := map[string]bool{}
		for j, a := range p.Adapters {
			adapterPath := fmt.Sprintf("%s.adapters[%d]", path, j)
			v.name(adapterPath, a)
			v.unique(adapterPath, a, adapters)
		}
		v.between(path+".min_replicas", float64(p.MinReplicas), 0, maxReplicas)
		v.between(path+".max_replicas", float64(p.MaxReplicas), 0, maxReplicas)
		if p.MinReplicas > p.MaxReplicas {
			v.add(path+".min_replicas", ErrOutOfRange, "%d exceeds max_replicas %d", p.MinReplicas, p.MaxReplicas)
		}
	}
}

func (v *validator) groups(groups []Group, models, services map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, g := range groups {
		path := fmt.Sprintf("groups[%d]", i)
		v.name(path+".name", g.Name)
		v.unique(path+".name", g.Name, seen)
		v.references(path+".models", "model", g.Models, models)
		v.references(path+".services", "service", g.Services, services)
		v.between(path+".requests_per_second", g.RequestsPerSecond, 0, maxRequestsPerSecond)
		v.between(path+".burst", float64(g.Burst), 0, maxBurst)
		v.between(path+".weight", float64(g.Weight), 0, maxWeight)
	}
	return seen
}

// references checks that the names are unique and that each is in known; kind is the word for such an entry in messages.
func (v *validator) references(path, kind string, names []string, known map[string]bool) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		v.unique(at, name, seen)
		if !known[name] {
			v.add(at, ErrUnknownReference, "%s %q does not exist", kind, name)
		}
	}
}

func (v *validator) callers(callers []Caller, groups map[string]bool) {
	ids := make(map[fleet.CallerID]bool, len(callers))
	keys := make(map[keyDigest]fleet.CallerID, len(callers))
	for i := range callers {
		c := &callers[i]
		if ids[c.ID] {
			v.add(fmt.Sprintf("callers[%d].id", i), ErrDuplicate, "%q occurs more than once", c.ID)
		}
		ids[c.ID] = true
		digest, ok := v.caller(c, i, groups)
		if !ok {
			continue
		}
		if other, used := keys[digest]; used {
			v.add(fmt.Sprintf("callers[%d].key_sha256", i), ErrDuplicate, "is also the key of caller %q", other)
		}
		keys[digest] = c.ID
	}
}

// caller checks one caller without comparing it with the others. It returns the digest of its API key and reports whether key_sha256 is
// well-formed. Paths are built only for problems, because there are tens of thousands of callers.
func (v *validator) caller(c *Caller, i int, groups map[string]bool) (keyDigest, bool) {
	if !plainName(string(c.ID)) {
		v.name(fmt.Sprintf("callers[%d].id", i), string(c.ID))
	}
	if !groups[c.Group] {
		v.add(fmt.Sprintf("callers[%d].group", i), ErrUnknownReference, "group %q does not exist", c.Group)
	}
	digest, err := parseKeyDigest(c.KeySHA256)
	if err != nil {
		v.add(fmt.Sprintf("callers[%d].key_sha256", i), ErrBadKeyDigest, "is not 64 hexadecimal digits")
		return digest, false
	}
	return digest, true
}

// plainName reports whether a name is non-empty printable ASCII without spaces and not too long, and so passes validator.name. Other
// names may pass too.
func plainName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] >= 0x7f {
			return false
		}
	}
	return true
}

// parseKeyDigest decodes the 64 hexadecimal digits of key_sha256, of either case, or returns ErrBadKeyDigest.
func parseKeyDigest(digits string) (keyDigest, error) {
	var digest keyDigest
	if len(digits) != hex.EncodedLen(len(digest)) {
		return digest, ErrBadKeyDigest
	}
	if _, err := hex.Decode(digest[:], []byte(digits)); err != nil {
		return digest, ErrBadKeyDigest
	}
	return digest, nil
}
