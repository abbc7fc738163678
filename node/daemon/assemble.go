package daemon

import (
	"crypto/sha256"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/adapters/service"
	coreclaims "eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/claims"
	"eelgrassproxy.example/node/control/bundlegc"
	"eelgrassproxy.example/node/control/bundlesync"
	"eelgrassproxy.example/node/control/engines"
	"eelgrassproxy.example/node/control/placement"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/dispatch"
	"eelgrassproxy.example/node/pools"
	"eelgrassproxy.example/node/workers"
)

func (d *Daemon) connectPlatform() error {
	s := d.settings
	client := platformClient(d.env.Dial)
	d.closers = append(d.closers, client.CloseIdleConnections)
	store, err := kv.NewClient(s.Store.Address, client, kv.Options{
		CallTimeout: s.Store.CallTimeout,
		Scope:       d.scope().SubScope("store"),
	})
	if err != nil {
		return eris.Wrap(err, "store.address")
	}
	d.store = store
	d.list, err = instancelist.NewClient(s.InstanceList.Address, client, 0)
	return eris.Wrap(err, "instance_list.address")
}

func (d *Daemon) connectPeers() error {
	raw, err := os.ReadFile(d.settings.Peers.TokenFile)
	if err != nil {
		return eris.Wrap(err, "peers.token_file")
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenBytes {
		return eris.Errorf("peers.token_file: token has %d bytes, at least %d are required", len(token), minTokenBytes)
	}
	d.peerToken = sha256.Sum256([]byte(token))
	config, err := peerClientTLS(d.settings.Listen.PeersTLS)
	if err != nil {
		return eris.Wrap(err, "listen.peers_tls")
	}
	d.meter = peer.NewMeter(d.scope())
	d.peers, err = peer.NewClientWith(token, d.meter, peer.Options{Dial: d.env.Dial, TLS: config})
	if err != nil {
		return err
	}
	d.bulkPeers, err = peer.NewClientWith(token, peer.NewMeter(d.scope().SubScope("bulk")), peer.Options{Dial: d.env.Dial, TLS: config})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, d.peers.Close, d.bulkPeers.Close)
	return nil
}

func (d *Daemon) assembleRequests() error {
	targets := httpcall.NewClient(d.env.Dial)
	d.closers = append(d.closers, targets.CloseIdleConnections)
	var err error
	if d.engines, err = engine.NewClient(targets); err != nil {
		return err
	}
	unpooled := httpcall.NewFreshClient(d.env.Dial)
	unpooledEngines, err := engine.NewClient(unpooled)
	if err != nil {
		return err
	}
	d.pools = pools.New(d.self.ID, d.self.FailureDomain, d.board, d.settings.Requests.SubsetSize)
	d.callers = limits.NewCallerLimits(callerSpread)
	d.claims = claims.New(d.store, claims.Config{
		Self:     coreclaims.Owner{Instance: d.self.ID, Incarnation: fleet.ProcessOf(d.self.Incarnation)},
		Liveness: dispatch.LivenessFrom(d.board.Members, d.started),
	})
	d.decisions = decisionlog.New(d.self.ID, d.board.Decisions)
	d.dispatcher = dispatch.New(dispatch.Parts{
		Instance:             d.self.ID,
		Process:              fleet.ProcessOf(d.self.Incarnation),
		FailureDomain:        d.self.FailureDomain,
		Board:                d.board,
		Pools:                d.pools,
		Router:               d.env.router(),
		Engines:              d.engines,
		UnpooledEngines:      unpooledEngines,
		Services:             service.NewClient(targets),
		UnpooledServices:     service.NewClient(unpooled),
		CloseIdleConnections: targets.CloseIdleConnections,
		Claims:               d.claims,
		Callers:              d.callers,
		Log:                  d.decisions,
		Metrics:              d.scope(),
		MaxAnswerBytes:       d.settings.Requests.MaxAnswerBytes,
		Yield:                d.env.yieldPolicy(),
		Seed:                 d.env.Seed,
		OnTargetLeaving:      d.announceTargetLeaving,
	})
	return nil
}

func (d *Daemon) assembleControllers() {
	d.members = d.newMemberParts()
	d.bundles = bundlesync.New(bundlesync.Config{
		Table:         d.board.Bundle,
		Store:         d.store,
		Peers:         peerSource{d.peers},
		Verifier:      d.verifier,
		IsWatcher:     d.watchesStore,
		PeerAddresses: d.peerAddresses,
		Random:        rand.New(rand.NewPCG(d.env.Seed, seedBundles)),
	})
	d.workers = workers.NewPool(d.board, d.settings.Workers, d.env.Seed)
	d.workers.Register(d.bundles, workers.Schedule{Every: time.Second})
	d.workers.Register(bundlegc.New(bundlegc.Config{
		Store:    d.store,
		Table:    d.board.Bundle,
		IsChosen: d.collectsBundles,
	}), workers.Schedule{Every: bundleGCInterval, On: []blackboard.Topic{blackboard.TopicBundle}})
	d.workers.Register(d.claims.Controller(), workers.Schedule{Every: time.Second})
	d.workers.Register(engines.New(d.board, d.engines, d.pools.UsedTargets, d.dispatcher.BatchInFlight, d.dispatcher.RecordLoadReport), workers.Schedule{
		Every: engineCheckInterval,
		On:    []blackboard.Topic{blackboard.TopicTargets},
	})
	d.members.register(d.workers, d.settings.InstanceList.Poll)
	d.batch.register(d.workers)
	d.workers.Register(d.newPlacement(), workers.Schedule{Every: placement.ReconcileInterval})
}
