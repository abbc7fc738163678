package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/adapters/service"
	"eelgrassproxy.example/core/bundle"
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
	"eelgrassproxy.example/node/settings"
	"eelgrassproxy.example/node/workers"
)

// leastTokenBytes is the shortest peer token that is accepted.
const leastTokenBytes = 16

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	env      Environment
	self     fleet.Member
	started  time.Time
	board    *blackboard.Board
	metrics  *metricsServer
	verifier bundle.Verifier

	store      kv.KeyLister
	list       *instancelist.Client
	peers      *peer.Client
	meter      *peer.Meter
	peerToken  [sha256.Size]byte
	engines    *engine.Client
	pools      *pools.Pools
	callers    *limits.CallerLimits
	claims     *claims.Claimer
	decisions  *decisionlog.Log
	dispatcher *dispatch.Dispatcher
	bundles    *bundlesync.Controller
	members    *memberParts
	batch      *batchParts
	bulkPeers  *peer.Client // for blobs, whose bytes are not control traffic
	workers    *workers.Pool
	closers    []func()      // close idle connections after everything has stopped
	drained    chan struct{} // closed when the drain began
	drainOnce  sync.Once
	killed     chan struct{} // closed by Kill
	killOnce   sync.Once
}

// New assembles an instance; nothing runs yet.
func New(s *settings.Settings, env Environment) (*Daemon, error) {
	started := time.Now()
	d := &Daemon{
		settings: s,
		env:      env,
		started:  started,
		board:    blackboard.New(),
		metrics:  newMetricsServer(),
		drained:  make(chan struct{}),
		killed:   make(chan struct{}),
		self: fleet.Member{
			ID:            fleet.InstanceID(s.Instance.ID),
			Incarnation:   fleet.NewIncarnation(started),
			PeerAddress:   s.Listen.AdvertisePeers,
			CallerAddress: s.Listen.AdvertiseCallers,
			FailureDomain: fleet.FailureDomain(s.Instance.FailureDomain),
			HasDisk:       s.Instance.DataFolder != "",
		},
	}
	var err error
	if d.verifier, err = verifierOf(s.Bundle); err != nil {
		return nil, err
	}
	if err := d.connectPlatform(); err != nil {
		return nil, err
	}
	if err := d.connectPeers(); err != nil {
		return nil, err
	}
	if err := d.assembleRequests(); err != nil {
		return nil, err
	}
	if d.batch, err = d.newBatchParts(); err != nil {
		return nil, err
	}
	d.assembleControllers()
	return d, nil
}

// scope is the root of the instance's metrics.
func (d *Daemon) scope() tally.Scope { return d.metrics.scope }

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
	if len(token) < leastTokenBytes {
		return eris.Errorf("peers.token_file: token has %d bytes, at least %d are required", len(token), leastTokenBytes)
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
	fresh := httpcall.NewFreshClient(d.env.Dial)
	freshEngines, err := engine.NewClient(fresh)
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
		Instance:       d.self.ID,
		Process:        fleet.ProcessOf(d.self.Incarnation),
		FailureDomain:  d.self.FailureDomain,
		Board:          d.board,
		Pools:          d.pools,
		Router:         d.env.router(),
		Engines:        d.engines,
		FreshEngines:   freshEngines,
		Services:       service.NewClient(targets),
		FreshServices:  service.NewClient(fresh),
		DropIdle:       targets.CloseIdleConnections,
		Claims:         d.claims,
		Callers:        d.callers,
		Log:            d.decisions,
		Metrics:        d.scope(),
		MaxAnswerBytes: d.settings.Requests.MaxAnswerBytes,
		Yield:          d.env.yieldPolicy(),
		Seed:           d.env.Seed,
		TargetLeft:     d.targetLeft,
	})
	return nil
}

func (d *Daemon) assembleControllers() {
	d.members = d.newMemberParts()
	d.bundles = bundlesync.New(bundlesync.Config{
		Table:     d.board.Bundle,
		Store:     d.store,
		Peers:     peerSource{d.peers},
		Verifier:  d.verifier,
		Watcher:   d.watchesStore,
		Addresses: d.peerAddresses,
		Random:    rand.New(rand.NewPCG(d.env.Seed, seedBundles)),
	})
	d.workers = workers.NewPool(d.board, d.settings.Workers, d.env.Seed)
	d.workers.Register(d.bundles, workers.Schedule{Every: time.Second})
	d.workers.Register(bundlegc.New(bundlegc.Config{
		Store:  d.store,
		Table:  d.board.Bundle,
		Chosen: d.collectsBundles,
	}), workers.Schedule{Every: collectCheck, On: []blackboard.Topic{blackboard.TopicBundle}})
	d.workers.Register(d.claims.Controller(), workers.Schedule{Every: time.Second})
	d.workers.Register(engines.New(d.board, d.engines, d.pools.Used, d.dispatcher.BatchInFlight, d.dispatcher.LoadReported), workers.Schedule{
		Every: engineInterval,
		On:    []blackboard.Topic{blackboard.TopicTargets},
	})
	d.members.register(d.workers, d.settings.InstanceList.Poll)
	d.batch.register(d.workers)
	d.workers.Register(d.newPlacement(), workers.Schedule{Every: placement.ReconcileEvery})
}

// callerSpread is the number of instances that share a caller's rate. A caller keeps to the first address that it was given, so that an
// instance must grant it the whole rate; one that goes round all instances gets more, and the fair queue limits what it takes from others.
const callerSpread = 1

// Streams of the instance's random source.
const (
	seedBundles    = 1
	seedMembership = 2
)

// collectCheck is how often an instance looks whether it was chosen to delete old bundles.
const collectCheck = 10 * time.Second

// engineInterval is how often engines without a fresh report are looked for.
const engineInterval = 200 * time.Millisecond

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	servers, err := d.openListeners()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.workers.Run(background) })
	group.Go(func() { d.bundles.Run(background) })
	group.Go(func() { d.batch.run(background) })
	failed := servers.serve(&group)
	klog.InfoS("Instance serves", "instance", d.self.ID, "callers", d.self.CallerAddress, "peers", d.self.PeerAddress)
	select {
	case <-ctx.Done():
		err = d.drain(servers)
	case err = <-failed:
	case <-d.killed:
	}
	stop()
	servers.close()
	group.Wait()
	err = errors.Join(err, d.giveUp())
	for _, closeIdle := range d.closers {
		closeIdle()
	}
	return errors.Join(err, d.metrics.close())
}

// Ready tells why the instance does not serve yet, or nil.
func (d *Daemon) Ready() error {
	select {
	case <-d.drained:
		return errors.New("instance is draining")
	default:
	}
	if d.board.Bundle.Current() == nil {
		return errors.New("no bundle is in force yet")
	}
	return nil
}

// Board returns the tables of the instance, for status and tests.
func (d *Daemon) Board() *blackboard.Board { return d.board }

// ControlBytes returns the bytes sent to and received from peers since the start.
func (d *Daemon) ControlBytes() (sent, received int64) { return d.meter.Bytes() }

// serverSet holds the servers of the three listeners.
type serverSet struct {
	callers, peers, operators *http.Server
	run                       []func() error
}

// Kill ends the instance at once, cutting off its requests, as a crash does. It is for tests and for stopping a sample fleet.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }
