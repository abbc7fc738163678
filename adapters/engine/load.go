package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
)

// HeaderLoad carries an engine's load report on each of its answers.
const HeaderLoad = "X-Engine-Load"

// ParseLoad reads the value of HeaderLoad, such as "running=3;waiting=0;free=900;total=1000;age_ms=250". All fields are required
// and unknown fields are ignored. SampledAt is now minus the age.
func ParseLoad(value string, now time.Time) (fleet.LoadReport, error) {
	fields := map[string]int{"running": -1, "waiting": -1, "free": -1, "total": -1, "age_ms": -1}
	for part := range strings.SplitSeq(value, ";") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if _, known := fields[name]; !known {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if err != nil || n < 0 {
			return fleet.LoadReport{}, fmt.Errorf("load report %q: field %q is not a number from 0 to 2^31-1", value, name)
		}
		fields[name] = int(n)
	}
	for name, n := range fields {
		if n < 0 {
			return fleet.LoadReport{}, fmt.Errorf("load report %q: field %q is missing", value, name)
		}
	}
	return fleet.LoadReport{
		Running:       fields["running"],
		Waiting:       fields["waiting"],
		KVBlocksFree:  fields["free"],
		KVBlocksTotal: fields["total"],
		SampledAt:     now.Add(-time.Duration(fields["age_ms"]) * time.Millisecond),
	}, nil
}

// loadOf returns the load report of an answer, or nil if it has none or a malformed one: load is a hint, and an answer is not
// lost over it.
func loadOf(header http.Header, now time.Time) *fleet.LoadReport {
	report, err := ParseLoad(header.Get(HeaderLoad), now)
	if err != nil {
		return nil
	}
	return &report
}

func reportOf(l *api.Load, now time.Time) fleet.LoadReport {
	return fleet.LoadReport{
		Running:       int(l.Running),
		Waiting:       int(l.Waiting),
		KVBlocksFree:  int(l.KvBlocksFree),
		KVBlocksTotal: int(l.KvBlocksTotal),
		SampledAt:     now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
	}
}
