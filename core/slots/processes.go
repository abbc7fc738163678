package slots

import "eelgrassproxy.example/core/fleet"

// Accepts reports whether a target is listed, and leaves neither by its entry nor by its own word.
func (v *View) Accepts(id fleet.TargetID) bool {
	t, ok := v.targets[id]
	return ok && v.isListed(t) && v.accepts(t)
}

// IsReplaced reports whether another process than that of t is listed at its address: a target with another id, or one that states another start.
func (v *View) IsReplaced(t Target) bool {
	for _, pool := range v.byService {
		for _, other := range pool {
			if other.Address == t.Address && (other.ID != t.ID || other.Started != t.Started) {
				return true
			}
		}
	}
	return false
}

// isListed reports whether a target is in the list, and not only kept for its requests.
func (v *View) isListed(t *target) bool {
	for _, listed := range v.byService[t.Service] {
		if listed == t {
			return true
		}
	}
	return false
}
