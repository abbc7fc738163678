// Package instance assembles one instance that serves opaque requests and jobs on a platform, runs it, and shuts it down without cutting off
// a request. What the platform's messages look like is left to the Protocol, the decoders and the handlers that it is given.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/internal/serving"
	"eelgrassproxy.example/node/itemjobs"
	"eelgrassproxy.example/node/kvmirror"
)

// Environment is the boundary to the operating system's network, which tests replace.
type Environment struct {
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         httpcall.DialFunc
}

// Config is what an instance is made of.
type Config struct {
	Self        fleet.Member
	Topology    fleet.Topology
	Environment Environment
	Store       kv.Store
	Metrics     tally.Scope
	Protocol    gateway.Protocol
	// ConfigKey holds the operators' configuration, and TargetPrefix begins the keys of the targets' entries.
	ConfigKey    string
	DecodeConfig func([]byte) (*routetable.Table, error)
	TargetPrefix string
	DecodeTarget func(key string, value []byte) (slots.Target, error)
	Seeds        []string             // peer addresses of some instances
	FirstStart   bool                 // all instances start for the first time, at about the same moment
	ResultsKept  time.Duration        // how long results stay readable after a job was submitted
	Grace        func() time.Duration // from the signal to stop to the end of the process
}

// Listener is one address that an instance serves beside that of its peers.
type Listener struct {
	Address string // empty for none
	Handler http.Handler
}

// Bounds of the listeners.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 32 << 10
)

// firstListing is when instances that start together read the members first: all start within 0.3 s, and have written their records by then.
const firstListing = 700 * time.Millisecond

// Instance is one instance. Its methods are safe for concurrent use.
type Instance struct {
	config    Config
	board     *gateway.Board
	peers     *gateway.Peers
	routes    *gateway.Routes
	copies    gateway.Copies
	catchUp   *gateway.CatchUp
	forwarder *gateway.Forwarder
	jobs      *itemjobs.Service
	client    *gateway.PeerClient
	upstream  *rawhttp.Client
	draining  atomic.Bool
}

// New assembles an instance; nothing runs yet but its socket for datagrams.
func New(c Config) (*Instance, error) {
	conn, err := c.Environment.ListenPacket("udp", c.Self.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	reach := kv.NewReach(c.Store)
	i := &Instance{
		config:   c,
		board:    gateway.NewBoard(slots.NewView(c.Self.ID, c.Self.FailureDomain, c.Topology, slots.DefaultPolicy())),
		routes:   gateway.NewRoutes(c.DecodeConfig),
		client:   gateway.NewPeerClient(c.Environment.Dial),
		upstream: rawhttp.New(c.Environment.Dial),
	}
	i.peers = gateway.NewPeers(c.Self, c.Topology, reach, i.board, conn)
	list := gateway.NewTargetList(i.board, c.TargetPrefix, c.DecodeTarget)
	i.copies = gateway.Copies{
		Config:  kvmirror.New(reach, c.ConfigKey, i.routes.Apply),
		Targets: kvmirror.New(reach, c.TargetPrefix, list.Apply),
		Members: i.peers.Records(),
	}
	if c.FirstStart {
		i.copies.DelayFirstListing(firstListing)
	}
	i.catchUp = gateway.NewCatchUp(c.Self, c.Topology, i.peers, i.routes, list, i.copies, reach, i.client, c.Seeds)
	i.forwarder = gateway.NewForwarder(i.board, i.upstream, c.Protocol, gateway.DefaultOptions(), c.Metrics)
	i.jobs = itemjobs.New(itemjobs.Config{
		Self:             c.Self,
		Store:            reach,
		Board:            i.board,
		Forwarder:        i.forwarder,
		Routes:           i.routes,
		Peers:            i.peers,
		Client:           i.client,
		Retention:        c.ResultsKept,
		StoreUnreachable: i.catchUp.StoreLost,
		Seed:             c.Self.Incarnation,
		Metrics:          c.Metrics,
	})
	return i, nil
}

// Routes returns the routing table's holder.
func (i *Instance) Routes() *gateway.Routes { return i.routes }

// Forwarder returns what carries requests to targets.
func (i *Instance) Forwarder() *gateway.Forwarder { return i.forwarder }

// Jobs returns the batch part.
func (i *Instance) Jobs() *itemjobs.Service { return i.jobs }

// Draining tells whether the instance is leaving.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Ready tells whether callers may be sent here: the configuration and the list of targets are known.
func (i *Instance) Ready() bool {
	return !i.draining.Load() && i.routes.Current() != nil && i.copies.Targets.Revision() > 0
}

// Run serves the listeners until ctx ends, drains, and stops.
func (i *Instance) Run(ctx context.Context, callers Listener, others ...Listener) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range []func(context.Context){i.peers.Run, i.jobs.Run, i.copies.Config.Run, i.copies.Targets.Run, i.catchUp.Run} {
		group.Go(func() { run(background) })
	}
	var servers serving.ServerSet
	callersServer, err := i.open(&servers, callers, append(others, Listener{i.config.Self.PeerAddress, i.peerCalls()}))
	if err == nil {
		failed := servers.Serve(&group)
		select {
		case <-ctx.Done():
			i.drain(callersServer)
		case err = <-failed:
		}
	}
	stop()
	servers.Close() // nothing that peers or the platform ask is owed an answer any more
	group.Wait()
	i.client.CloseIdle()
	i.upstream.Close()
	return err
}

// open opens all listeners and returns the callers' server.
func (i *Instance) open(set *serving.ServerSet, callers Listener, others []Listener) (*http.Server, error) {
	callersServer, err := i.add(set, callers)
	for _, l := range others {
		if err == nil {
			_, err = i.add(set, l)
		}
	}
	return callersServer, err
}

// add opens a listener, if it has an address, and returns its server.
func (i *Instance) add(set *serving.ServerSet, l Listener) (*http.Server, error) {
	server := &http.Server{Handler: l.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if l.Address == "" {
		return server, nil
	}
	listener, err := serving.Listen(i.config.Environment.Listen, l.Address)
	if err != nil {
		return nil, err
	}
	set.Add(server, listener)
	return server, nil
}

// peerCalls answers the calls of other instances.
func (i *Instance) peerCalls() http.Handler {
	mux := http.NewServeMux()
	i.jobs.Handle(mux)
	i.catchUp.Handle(mux)
	return mux
}

const (
	// drainClose is the part of the grace period after which no new connections are taken: callers' addresses have run out by then.
	drainClose = 0.75
	// drainEnd is the part of the grace period after which the process ends, whatever still runs.
	drainEnd = 0.96
)

// drain keeps serving while callers' addresses run out, and then waits for the last request. Jobs are handed over at once.
func (i *Instance) drain(callers *http.Server) {
	started, grace := time.Now(), i.config.Grace()
	klog.InfoS("Instance drains", "instance", i.config.Self.ID, "grace_ms", grace.Milliseconds())
	i.draining.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(time.Duration(drainEnd*float64(grace))))
	defer cancel()
	i.peers.Drain()
	i.jobs.Drain(ctx)
	time.Sleep(time.Until(started.Add(time.Duration(drainClose * float64(grace)))))
	err := callers.Shutdown(ctx)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		klog.InfoS("Requests were still running at the end of the grace period", "instance", i.config.Self.ID)
	case err != nil:
		klog.ErrorS(err, "Callers' listener was not closed")
	}
}
