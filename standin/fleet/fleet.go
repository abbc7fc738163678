package fleet

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/daemon"
	"eelgrassproxy.example/node/settings"
	"eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/instancelist"
	"eelgrassproxy.example/standin/service"
	"eelgrassproxy.example/standin/store"
)

// Options of a fleet.
type Options struct {
	Deployment Deployment
	Network    Network
	Instances  int    // entry instances, spread over the failure domains; 0 means 8
	Folder     string // folder for the peer token and settings files
	Engine     func(i int) engine.Options
	// EmptyEngines starts the engines without a model, so that placement has to load it.
	EmptyEngines bool
	Seed         uint64
	Router       *routing.Router    // of every instance; nil means the default
	Yield        *batch.YieldPolicy // of every instance; nil means the default
	// Observe sees every request that reaches a target, before it is handled; nil ignores them.
	Observe func(part string, r *http.Request)
	// EntrypointTTL is how long callers keep an address; 0 means the settings' default.
	EntrypointTTL time.Duration
	// Launcher starts an instance in place of Launch, such as in a process of its own; nil runs it in this process.
	Launcher func(*Instance) error
}

// Fleet is a running fleet.
type Fleet struct {
	Options
	Store     *store.Server
	List      *instancelist.Server
	Ledger    *service.Ledger
	Engines   map[fleet.TargetID]*engine.Engine
	Services  map[fleet.TargetID]*service.Service
	Instances []*Instance
	Addresses map[string]string // address of each part by name

	ctx     context.Context
	group   sync.WaitGroup
	mu      sync.Mutex // guards servers
	servers map[string]*http.Server
}

// Instance is one entry instance of the fleet.
type Instance struct {
	ID       fleet.InstanceID
	Domain   fleet.FailureDomain
	Settings *settings.Settings
	File     string // settings file
	Daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

const (
	defaultInstances = 8
	serviceReplicas  = 2
)

// Start starts the platform's stand-ins, the targets and the instances, and returns when all listeners are open. Stop ends them.
func Start(o Options) (*Fleet, error) {
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.EntrypointTTL == 0 {
		o.EntrypointTTL = settings.DefaultEntrypointTTL
	}
	f := &Fleet{
		Options:   o,
		Store:     store.New(store.Options{}),
		List:      instancelist.New(instancelist.Options{Lag: listLag}),
		Ledger:    &service.Ledger{},
		Engines:   make(map[fleet.TargetID]*engine.Engine),
		Services:  make(map[fleet.TargetID]*service.Service),
		Addresses: make(map[string]string),
		ctx:       context.Background(),
		servers:   make(map[string]*http.Server),
	}
	steps := []func() error{f.startPlatform, f.startEngines, f.startServices, f.startInstances}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// serve reserves an address for a part and serves the handler there.
func (f *Fleet) serve(part string, domain fleet.FailureDomain, handler http.Handler) (string, error) {
	address, err := f.Network.Address(part, domain)
	if err != nil {
		return "", eris.Wrapf(err, "address of %s", part)
	}
	l, err := f.Network.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "listener of %s", part)
	}
	server := &http.Server{Handler: f.observed(part, handler)}
	f.mu.Lock()
	f.servers[part] = server
	f.Addresses[part] = address
	f.mu.Unlock()
	f.group.Go(func() { _ = server.Serve(l) })
	return address, nil
}

func (f *Fleet) observed(part string, handler http.Handler) http.Handler {
	if f.Observe == nil {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Observe(part, r)
		handler.ServeHTTP(w, r)
	})
}

func (f *Fleet) startPlatform() error {
	if _, err := f.serve("store", f.Deployment.StoreDomain, f.Store); err != nil {
		return err
	}
	_, err := f.serve("list", f.Deployment.StoreDomain, f.List)
	return err
}

func (f *Fleet) startInstances() error {
	domains := f.Deployment.Domains()
	if err := os.WriteFile(filepath.Join(f.Folder, "peer.token"), []byte(peerToken), 0o600); err != nil {
		return err
	}
	for i := range f.Options.Instances {
		id := fleet.InstanceID(fmt.Sprintf("instance-%d", i+1))
		instance := &Instance{ID: id, Domain: domains[i%len(domains)]}
		s, err := f.settings(instance)
		if err != nil {
			return err
		}
		instance.Settings = s
		f.Instances = append(f.Instances, instance)
		f.list(string(id), platform.InstanceKindEntry, "", s.Listen.Peers, instance.Domain)
		launch := f.Launch
		if f.Launcher != nil {
			launch = f.Launcher
		}
		if err := launch(instance); err != nil {
			return err
		}
	}
	return nil
}

// Launch starts or restarts an instance.
func (f *Fleet) Launch(i *Instance) error {
	if network, ok := f.Network.(*Virtual); ok {
		network.Revive(network.Names(string(i.ID))...)
	}
	d, err := daemon.New(i.Settings, daemon.Environment{
		Listen: f.Network.Listen,
		Dial:   f.Network.Dial(string(i.ID)),
		Seed:   f.Seed + uint64(slices.Index(f.Instances, i)),
		Router: f.Router,
		Yield:  f.Yield,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	i.Daemon, i.stop, i.done = d, stop, make(chan struct{})
	f.group.Go(func() {
		defer close(i.done)
		i.err = d.Run(ctx)
	})
	return nil
}

// Drain asks the instance to shut down gracefully, as SIGTERM does.
func (i *Instance) Drain() { i.stop() }

// Wait returns when the instance has shut down.
func (i *Instance) Wait() error {
	<-i.done
	return i.err
}

// Crash ends an instance without a drain, as SIGKILL does. On a virtual network nothing that it still does reaches anyone.
func (f *Fleet) Crash(i *Instance) error {
	if network, ok := f.Network.(*Virtual); ok {
		network.Crash(network.Names(string(i.ID))...)
	}
	i.Daemon.Kill()
	return i.Wait()
}

// Stop ends everything at once.
func (f *Fleet) Stop() {
	for _, i := range f.Instances {
		if i.Daemon != nil {
			i.Daemon.Kill()
		}
	}
	for _, e := range f.Engines {
		e.Close()
	}
	f.Store.Close()
	f.mu.Lock()
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.mu.Unlock()
	f.group.Wait()
	if network, ok := f.Network.(interface{ Close() }); ok {
		network.Close()
	}
}

// PublicKey returns the sample operator's public key in the form of the settings.
func PublicKey() string {
	return base64.StdEncoding.EncodeToString(OperatorKey().Public().(ed25519.PublicKey))
}

// Signed returns the document's manifest signed by the sample operator, with its sections.
func Signed(doc *bundle.Document) (bundle.SignedManifest, bundle.Sections, error) {
	manifest, sections, err := bundle.Split(doc)
	if err != nil {
		return bundle.SignedManifest{}, nil, err
	}
	raw := manifest.Bytes()
	return bundle.SignedManifest{Manifest: raw, Signatures: []bundle.Signature{bundle.Sign(raw, Operator, OperatorKey())}}, sections, nil
}
