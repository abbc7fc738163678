package bundle

import (
	"encoding/hex"
	"fmt"

	"eelgrassproxy.example/core/fleet"
)

// checkModels checks the models and returns the set of their names. checkServices and checkGroups likewise return sets of names.
func (v *validator) checkModels(models []Model) map[string]bool {
	seen := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		v.checkName(path+".name", m.Name)
		v.checkUnique(path+".name", m.Name, seen)
		v.checkName(path+".base", m.Base)
		v.checkName(path+".version", m.Version)
		if m.Adapter != "" {
			v.checkName(path+".adapter", m.Adapter)
		}
		v.checkRange(path+".max_running", float64(m.MaxRunning), 1, maxRunningPerReplica)
	}
	return seen
}

func (v *validator) checkServices(services []Service) map[string]bool {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name)
		v.checkUnique(path+".name", s.Name, seen)
		v.checkRange(path+".max_running", float64(s.MaxRunning), 1, maxRunningPerReplica)
		operations := map[string]bool{}
		for j, op := range s.Operations {
			opPath := fmt.Sprintf("%s.operations[%d].name", path, j)
			v.checkName(opPath, op.Name)
			v.checkUnique(opPath, op.Name, operations)
		}
	}
	return seen
}

func (v *validator) checkPlacements(placements []Placement) {
	seen := map[string]bool{}
	for i, p := range placements {
		path := fmt.Sprintf("placement[%d]", i)
		v.checkName(path+".base", p.Base)
		v.checkName(path+".version", p.Version)
		v.checkUnique(path, p.key(), seen)
		adapters := map[string]bool{}
		for j, a := range p.Adapters {
			adapterPath := fmt.Sprintf("%s.adapters[%d]", path, j)
			v.checkName(adapterPath, a)
			v.checkUnique(adapterPath, a, adapters)
		}
		v.checkRange(path+".min_replicas", float64(p.MinReplicas), 0, maxReplicas)
		v.checkRange(path+".max_replicas", float64(p.MaxReplicas), 0, maxReplicas)
		if p.MinReplicas > p.MaxReplicas {
			v.add(path+".min_replicas", ErrOutOfRange, "%d exceeds max_replicas %d", p.MinReplicas, p.MaxReplicas)
		}
	}
}

func (v *validator) checkGroups(groups []Group, models, services map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, g := range groups {
		path := fmt.Sprintf("groups[%d]", i)
		v.checkName(path+".name", g.Name)
		v.checkUnique(path+".name", g.Name, seen)
		v.checkReferences(path+".models", "model", g.Models, models)
		v.checkReferences(path+".services", "service", g.Services, services)
		v.checkRange(path+".requests_per_second", g.RequestsPerSecond, 0, maxRequestsPerSecond)
		v.checkRange(path+".burst", float64(g.Burst), 0, maxBurst)
		v.checkRange(path+".weight", float64(g.Weight), 0, maxWeight)
	}
	return seen
}

// checkReferences checks that the names are unique and that each is in known; kind is the word for such an entry in messages.
func (v *validator) checkReferences(path, kind string, names []string, known map[string]bool) {
	seen := map[string]bool{}
	for i, name := range names {
		refPath := fmt.Sprintf("%s[%d]", path, i)
		v.checkUnique(refPath, name, seen)
		if !known[name] {
			v.add(refPath, ErrUnknownReference, "%s %q does not exist", kind, name)
		}
	}
}

func (v *validator) checkCallers(callers []Caller, groups map[string]bool) {
	ids := make(map[fleet.CallerID]bool, len(callers))
	keys := make(map[keyDigest]fleet.CallerID, len(callers))
	for i := range callers {
		c := &callers[i]
		if ids[c.ID] {
			v.add(fmt.Sprintf("callers[%d].id", i), ErrDuplicate, "%q occurs more than once", c.ID)
		}
		ids[c.ID] = true
		digest, ok := v.checkCaller(c, i, groups)
		if !ok {
			continue
		}
		if other, used := keys[digest]; used {
			v.add(fmt.Sprintf("callers[%d].key_sha256", i), ErrDuplicate, "is also the key of caller %q", other)
		}
		keys[digest] = c.ID
	}
}

// checkCaller checks one caller without comparing it with the others. It returns the digest of its API key and reports whether
// key_sha256 is well-formed. Paths are built only for problems, because there are tens of thousands of callers.
func (v *validator) checkCaller(c *Caller, i int, groups map[string]bool) (keyDigest, bool) {
	if !plainName(string(c.ID)) {
		v.checkName(fmt.Sprintf("callers[%d].id", i), string(c.ID))
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

// plainName reports whether a name is non-empty printable ASCII without spaces and not too long, and so passes validator.checkName. Other
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
