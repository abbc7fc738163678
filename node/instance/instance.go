// Package instance assembles and runs an instance that serves opaque requests and jobs on a platform, and drains it before it stops so that
// running requests can complete. The Protocol, the decoders and the handlers that it is given define the format of the platform's messages.
package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/accounts"
	"eelgrassproxy.example/core/fleet"
	coreintake "eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/intake"
	"eelgrassproxy.example/node/internal/serving"
	"eelgrassproxy.example/node/itemjobs"
	"eelgrassproxy.example/node/kvmirror"
)

// Environment holds the functions that open network connections and sockets. Tests replace them.
type Environment struct {
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         httpcall.DialFunc
}

// Config holds the settings and the dependencies of an instance.
type Config struct {
	Self        fleet.Member
	Topology    fleet.Topology
	Environment Environment
	Store       kv.Store
	Metrics     tally.Scope
	Protocol    gateway.Protocol
	// ConfigKey is the store key of the operators' configuration, and TargetPrefix the prefix of the keys of the targets' entries.
	ConfigKey    string
	DecodeConfig func([]byte) (*routetable.Table, error)
	TargetPrefix string
	DecodeTarget func(key string, value []byte) (slots.Target, error)
	// DecodeParts returns the parts of a prompt that other requests may share, from the header of a request.
	DecodeParts func(http.Header) []poison.Part
	Seeds       []string      // peer addresses of some instances
	Seed        bool          // other instances have this one among their seeds
	FirstStart  bool          // all instances of the fleet start for the first time, at about the same time
	ResultsKept time.Duration // how long results stay readable after a job was submitted
	// OutputBytes, ItemBytes and SubmissionBytes bound the memory for jobs; see MemoryBytes and the others in itemjobs.Config.
	OutputBytes, ItemBytes, SubmissionBytes int64
	ResponseBytes                           int64                // see gateway.Options.MaxBufferedBytes; 0 for the default
	Grace                                   func() time.Duration // maximum time from the stop signal to the end of the process
	Guard                                   *intake.Guard        // of all servers of the process; nil for one without stated limits
}

// Listener is an address on which an instance serves HTTP, in addition to the address for its peers.
type Listener struct {
	Name    string // in metrics
	Role    coreintake.Role
	Address string // if empty, the listener is not opened
	Handler http.Handler
}

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 32 << 10
)

// firstListingDelay delays the first listings from the store when all instances start together. They start within 0.3 s of each other, so
// all membership records have been written by then.
const firstListingDelay = 700 * time.Millisecond

// Instance is one instance of the fleet. Its methods are safe for concurrent use.
type Instance struct {
	config    Config
	board     *gateway.Board
	peers     *gateway.Peers
	routes    *gateway.Routes
	copies    gateway.Copies
	catchUp   *gateway.CatchUp
	forwarder *gateway.Forwarder
	jobs      *itemjobs.Service
	quotas    *gateway.Quotas
	parts     *gateway.PartGuard
	client    *gateway.PeerClient
	upstream  *rawhttp.Client
	drained   atomic.Pointer[drainSchedule] // nil until the instance drains
}

// New assembles an instance and opens its socket for datagrams from peers. Nothing else is started before Run.
func New(c Config) (*Instance, error) {
	conn, err := c.Environment.ListenPacket("udp", c.Self.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	if c.Guard == nil {
		c.Guard = intake.NewGuard(coreintake.NewPlan(0, 0), c.Metrics)
	}
	store := kv.NewReach(c.Store)
	i := &Instance{
		config:   c,
		board:    gateway.NewBoard(slots.NewView(c.Self.ID, c.Self.FailureDomain, c.Topology, slots.DefaultPolicy())),
		routes:   gateway.NewRoutes(c.DecodeConfig),
		client:   gateway.NewPeerClient(c.Environment.Dial),
		upstream: rawhttp.New(c.Environment.Dial),
	}
	i.peers = gateway.NewPeers(c.Self, c.Topology, store, i.board, conn)
	i.peers.SetMetrics(c.Metrics)
	list := gateway.NewTargetList(i.board, c.TargetPrefix, c.DecodeTarget)
	i.copies = gateway.Copies{
		Config:  kvmirror.New(store, c.ConfigKey, i.routes.Apply),
		Targets: kvmirror.New(store, c.TargetPrefix, list.Apply),
		Members: i.peers.Records(),
	}
	if c.FirstStart {
		i.copies.DelayFirstListing(firstListingDelay)
	}
	i.catchUp = gateway.NewCatchUp(c.Self, c.Topology, i.peers, i.routes, list, i.copies, store, i.client, c.Seeds)
	i.catchUp.SetMetrics(c.Metrics.SubScope("gateway"))
	if c.Seed {
		i.catchUp.SetSeed()
	}
	options := gateway.DefaultOptions()
	if c.ResponseBytes > 0 {
		options.MaxBufferedBytes = c.ResponseBytes
	}
	i.forwarder = gateway.NewForwarder(i.board, i.upstream, c.Protocol, options, c.Metrics)
	i.quotas = gateway.NewQuotas(i.peers, i.limitOf, i.catchUp.StoreLost, c.Metrics)
	i.forwarder.ExchangeUsage(i.quotas)
	i.parts = gateway.NewPartGuard(i.peers, i.board, store, i.catchUp.StoreLost, c.Environment.Dial, c.Metrics)
	i.forwarder.GuardParts(i.parts)
	i.jobs = itemjobs.New(itemjobs.Config{
		Self:             c.Self,
		Store:            store,
		Board:            i.board,
		Forwarder:        i.forwarder,
		Routes:           i.routes,
		Peers:            i.peers,
		Parts:            i.parts,
		DecodeParts:      c.DecodeParts,
		Client:           i.client,
		Retention:        c.ResultsKept,
		StoreUnreachable: i.catchUp.StoreLost,
		Seed:             c.Self.Incarnation,
		MemoryBytes:      c.OutputBytes,
		ItemBytes:        c.ItemBytes,
		SubmissionBytes:  c.SubmissionBytes,
		Metrics:          c.Metrics,
	})
	return i, nil
}

// Routes returns the holder of the current routing table.
func (i *Instance) Routes() *gateway.Routes { return i.routes }

// AwaitNewestTable waits until the routing table is the newest one that this instance knows to exist, or ctx ends. It returns the table in force, and
// whether it is that one.
func (i *Instance) AwaitNewestTable(ctx context.Context) (table *routetable.Table, newest bool) {
	version := i.catchUp.NewestVersion()
	table = i.routes.Await(ctx, version)
	return table, table != nil && table.Version >= version
}

// Forwarder returns the forwarder, which sends requests to targets.
func (i *Instance) Forwarder() *gateway.Forwarder { return i.forwarder }

// Quotas returns the rate limits of accounts over the whole fleet.
func (i *Instance) Quotas() *gateway.Quotas { return i.quotas }

// Parts returns the guard against parts of prompts that crash targets.
func (i *Instance) Parts() *gateway.PartGuard { return i.parts }

// limitOf returns the limit of an account in the configuration in force.
func (i *Instance) limitOf(account string) (accounts.Quota, bool) {
	table := i.routes.Current()
	if table == nil {
		return accounts.Quota{}, false
	}
	found, ok := table.Accounts.ByName(account)
	if !ok {
		return accounts.Quota{}, false
	}
	return found.Quota, true
}

// Jobs returns the service that runs the jobs.
func (i *Instance) Jobs() *itemjobs.Service { return i.jobs }

// Ready reports whether callers may be sent to this instance: it has the configuration and the list of targets and is not draining.
func (i *Instance) Ready() bool {
	return !i.Draining() && i.routes.Current() != nil && i.copies.Targets.Revision() > 0
}

// Run serves the listeners and the peers until ctx is canceled, then drains the instance and stops it. It returns early, without draining,
// with the error of a listener that cannot be opened or of a server that fails.
func (i *Instance) Run(ctx context.Context, callers Listener, others ...Listener) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range []func(context.Context){i.peers.Run, i.quotas.Run, i.parts.Run, i.jobs.Run, i.copies.Config.Run, i.copies.Targets.Run, i.catchUp.Run, i.config.Guard.Run} {
		group.Go(func() { run(background) })
	}
	var servers serving.ServerSet
	callersServer, err := i.open(&servers, callers, append(others, Listener{"peers", coreintake.Auxiliary, i.config.Self.PeerAddress, i.peerHandler()}))
	if err == nil {
		failed := servers.Serve(&group)
		select {
		case <-ctx.Done():
			i.drain(callersServer)
		case err = <-failed:
		}
	}
	stop()
	servers.Close() // doesn't wait for the running calls of peers and the platform, which need no response any more
	group.Wait()
	i.client.CloseIdle()
	i.upstream.Close()
	return err
}

// open opens all listeners, up to the first error, and returns the callers' server.
func (i *Instance) open(set *serving.ServerSet, callers Listener, others []Listener) (*http.Server, error) {
	callersServer, err := i.add(set, callers)
	for _, l := range others {
		if err == nil {
			_, err = i.add(set, l)
		}
	}
	return callersServer, err
}

// add opens the listener if it has an address, adds it to the set, and returns its server.
func (i *Instance) add(set *serving.ServerSet, l Listener) (*http.Server, error) {
	server := &http.Server{Handler: l.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if l.Address == "" {
		return server, nil
	}
	listener, err := serving.Listen(i.config.Environment.Listen, l.Address)
	if err != nil {
		return nil, err
	}
	set.Add(server, i.config.Guard.Protect(server, listener, l.Name, l.Role))
	return server, nil
}

// peerHandler returns the handler for the HTTP calls of other instances.
func (i *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	i.jobs.Handle(mux)
	i.catchUp.Handle(mux)
	return mux
}
