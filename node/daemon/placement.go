package daemon

import (
	"eelgrassproxy.example/node/control/placement"
	"eelgrassproxy.example/node/decisionlog"
)

// newPlacement returns the controller that makes the engines in the shards of this instance load what the bundle specifies.
func (d *Daemon) newPlacement() *placement.Controller {
	return placement.New(placement.Config{
		Board:   d.board,
		Owners:  d.batch.keeper,
		Client:  d.engines,
		Log:     decisionlog.New(d.self.ID, d.board.Decisions),
		Metrics: d.scope(),
		Seed:    d.env.Seed,
	})
}
