package store

import (
	"bytes"
	"cmp"

	"eelgrassproxy.example/api/platform"
)

// holds evaluates one comparison. A VALUE comparison with a missing key never holds, as in etcd; the other targets read zero.
func (s *state) holds(c platform.Compare) (bool, *platform.ErrorStatusCode) {
	r, exists := s.keys[string(c.Key)]
	var order int
	switch c.Target {
	case platform.CompareTargetVALUE:
		if !exists {
			return false, nil
		}
		order = bytes.Compare(r.value, c.Value)
	default:
		actual, given := compareNumbers(r, c)
		wanted, err := parseNumber(given)
		if err != nil {
			return false, err
		}
		order = cmp.Compare(actual, wanted)
	}
	return matches(order, c.Result.Or(platform.CompareResultEQUAL)), nil
}

// compareNumbers returns the record's number that the comparison looks at and the number given in the request.
func compareNumbers(r record, c platform.Compare) (int64, platform.OptString) {
	switch c.Target {
	case platform.CompareTargetVERSION:
		return r.version, c.Version
	case platform.CompareTargetCREATE:
		return r.createRevision, c.CreateRevision
	case platform.CompareTargetMOD:
		return r.modRevision, c.ModRevision
	default:
		return r.lease, c.Lease
	}
}

func matches(order int, result platform.CompareResult) bool {
	switch result {
	case platform.CompareResultEQUAL:
		return order == 0
	case platform.CompareResultNOTEQUAL:
		return order != 0
	case platform.CompareResultGREATER:
		return order > 0
	default:
		return order < 0
	}
}
