package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	coreintake "eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/claims"
	"eelgrassproxy.example/node/control/bundlesync"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/dispatch"
	"eelgrassproxy.example/node/intake"
	"eelgrassproxy.example/node/internal/serving"
	"eelgrassproxy.example/node/metrics"
	"eelgrassproxy.example/node/pools"
	"eelgrassproxy.example/node/settings"
	"eelgrassproxy.example/node/workers"
)

// minTokenBytes is the minimum length of the peer token.
const minTokenBytes = 16

// Daemon is one instance of the serving system. New assembles it and Run runs it once.
type Daemon struct {
	settings *settings.Settings
	env      Environment
	self     fleet.Member
	started  time.Time
	board    *blackboard.Board
	metrics  *metrics.Server
	verifier bundle.Verifier

	store        kv.KeyLister
	list         *instancelist.Client
	peers        *peer.Client
	meter        *peer.Meter
	guard        *intake.Guard // of all listeners
	peerToken    [sha256.Size]byte
	engines      *engine.Client
	pools        *pools.Pools
	callers      *limits.CallerLimits
	claims       *claims.Claimer
	decisions    *decisionlog.Log
	dispatcher   *dispatch.Dispatcher
	bundles      *bundlesync.Controller
	members      *memberParts
	batch        *batchParts
	bulkPeers    *peer.Client // for blobs; not counted by meter, as blobs are not control traffic
	workers      *workers.Pool
	closers      []func()      // close idle connections; called after all goroutines have ended
	drainStarted chan struct{} // closed when the drain begins
	drainOnce    sync.Once
	killed       chan struct{} // closed by Kill
	killOnce     sync.Once
}

// New assembles an instance without starting it. It reads the peer token and the peers' certificate files and opens the data folder.
func New(s *settings.Settings, env Environment) (*Daemon, error) {
	started := time.Now()
	d := &Daemon{
		settings:     s,
		env:          env,
		started:      started,
		board:        blackboard.New(),
		metrics:      metrics.New(),
		drainStarted: make(chan struct{}),
		killed:       make(chan struct{}),
		self: fleet.Member{
			ID:            fleet.InstanceID(s.Instance.ID),
			Incarnation:   fleet.NewIncarnation(started),
			PeerAddress:   s.Listen.AdvertisePeers,
			CallerAddress: s.Listen.AdvertiseCallers,
			FailureDomain: fleet.FailureDomain(s.Instance.FailureDomain),
			HasDisk:       s.Instance.DataFolder != "",
		},
	}
	d.guard = intake.NewGuard(coreintake.NewPlan(s.Process.MemoryBytes, descriptors(s)), d.scope())
	var err error
	if d.verifier, err = newVerifier(s.Bundle); err != nil {
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

// descriptors returns the number of descriptors that the process may open, or 0 if it is not known.
func descriptors(s *settings.Settings) int {
	var limit syscall.Rlimit
	if s.Process.MaxDescriptors > 0 {
		return s.Process.MaxDescriptors
	}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// scope returns the root scope of the instance's metrics.
func (d *Daemon) scope() tally.Scope { return d.metrics.Scope() }

// callerSpread is the number of instances that share a caller's rate. A caller uses only the first address that it was given, so its
// instance must grant it the whole rate. A caller that sends to all instances in turn gets more than its rate; the fair queue limits what
// it takes from others.
const callerSpread = 1

// Streams of the random generators that are seeded with Environment.Seed, so that they are independent of each other.
const (
	seedBundles    = 1
	seedMembership = 2
)

// bundleGCInterval is the interval at which an instance checks whether it is the one that deletes old bundles.
const bundleGCInterval = 10 * time.Second

// engineCheckInterval is the interval at which an instance checks for engines without a fresh load report.
const engineCheckInterval = 200 * time.Millisecond

// Run serves until ctx ends and then drains the instance before it stops. It stops without a drain if a server fails or Kill is called,
// and returns the errors of all steps. It must be called only once.
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
	group.Go(func() { d.guard.Run(background) })
	failed := servers.Serve(&group)
	klog.InfoS("Instance serves", "instance", d.self.ID, "callers", d.self.CallerAddress, "peers", d.self.PeerAddress)
	select {
	case <-ctx.Done():
		err = d.drain(servers)
	case err = <-failed:
	case <-d.killed:
	}
	stop()
	servers.Close()
	group.Wait()
	err = errors.Join(err, d.releaseLeases())
	for _, closeIdle := range d.closers {
		closeIdle()
	}
	return errors.Join(err, d.metrics.Close())
}

// Ready returns nil if the instance is ready to serve, or else an error with the reason.
func (d *Daemon) Ready() error {
	if d.draining() {
		return errors.New("instance is draining")
	}
	if d.board.Bundle.Current() == nil {
		return errors.New("no bundle is in force yet")
	}
	return nil
}

func (d *Daemon) draining() bool {
	select {
	case <-d.drainStarted:
		return true
	default:
		return false
	}
}

// Board returns the tables of the instance, for status pages and tests.
func (d *Daemon) Board() *blackboard.Board { return d.board }

// ControlBytes returns the number of bytes sent to and received from peers since the start, without those of blobs that this instance
// fetches or stores at peers.
func (d *Daemon) ControlBytes() (sent, received int64) { return d.meter.Bytes() }

// serverSet holds the servers of the three listeners.
type serverSet struct {
	serving.ServerSet
	callers, peers, operators *http.Server
}

// Kill makes Run stop at once, as in a crash: running requests are cut off and leases are not released. It is for tests and for stopping
// a sample fleet.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }
