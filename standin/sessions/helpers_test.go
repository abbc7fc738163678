package sessions

import (
	"time"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/decisionlog"
	"encoding/json"

	"github.com/stretchr/testify/require"
)

// servedBy returns the target that the request was last routed to.
func (s *session) servedBy(id string) corefleet.TargetID {
	var target corefleet.TargetID
	for _, i := range s.fleet.Instances {
		for _, line := range i.Daemon.Board().Decisions.Find(corefleet.RequestID(id)) {
			var e decisionlog.Entry
			require.NoError(s.t, json.Unmarshal([]byte(line), &e))
			if e.Kind == decisionlog.KindRoute {
				target = e.Target
			}
		}
	}
	require.NotEmpty(s.t, target, "request %s was not routed", id)
	return target
}

// preferred returns the target to which instance-1 routes the prompt of the request with the id, by sending it once under another id.
func (s *session) preferred(id string) corefleet.TargetID {
	probe := chat(0, id, true, 1)
	probe.id = id + "-probe"
	requireWhole(s.t, s.do(probe, nil), 1)
	return s.servedBy(probe.id)
}

// awaitExecutions returns when the plain services have begun the number of executions.
func (s *session) awaitExecutions(n int) {
	for len(s.fleet.Ledger.Executions()) < n {
		time.Sleep(time.Millisecond)
	}
}
