package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	coreintake "eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/node/entry"
	"eelgrassproxy.example/node/internal/serving"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/operations"
)

// openListeners opens the three listeners. If one fails, it closes those that are open. The servers do not serve yet.
func (d *Daemon) openListeners() (*serverSet, error) {
	set := &serverSet{}
	var err error
	if set.callers, err = d.callersServer(); err != nil {
		return nil, err
	}
	if set.peers, err = d.peersServer(); err != nil {
		return nil, err
	}
	if set.operators, err = d.operatorsServer(); err != nil {
		return nil, err
	}
	listen := d.settings.Listen
	callersTLS, err := tlsConfig(listen.CallersTLS)
	if err != nil {
		return nil, err
	}
	peersTLS, err := tlsConfig(listen.PeersTLS)
	if err != nil {
		return nil, err
	}
	for _, l := range []struct {
		name    string
		role    coreintake.Role
		server  *http.Server
		address string
		tls     *tls.Config
		wrap    func(net.Listener) net.Listener
	}{
		{"callers", coreintake.Callers, set.callers, listen.Callers, callersTLS, nil},
		{"peers", coreintake.Auxiliary, set.peers, listen.Peers, peersTLS, d.meter.Listen},
		{"operators", coreintake.Monitoring, set.operators, listen.Operators, nil, nil},
	} {
		wrap := func(listener net.Listener) net.Listener {
			if l.wrap != nil {
				listener = l.wrap(listener)
			}
			return d.guard.Protect(l.server, listener, l.name, l.role)
		}
		if err := set.open(d.env, l.server, l.address, l.tls, wrap); err != nil {
			set.Close()
			return nil, err
		}
	}
	return set, nil
}

func (s *serverSet) open(env Environment, server *http.Server, address string, config *tls.Config, wrap func(net.Listener) net.Listener) error {
	l, err := serving.Listen(env.Listen, address)
	if err != nil {
		return err
	}
	l = wrap(l)
	if config != nil {
		l = tls.NewListener(l, config)
	}
	s.Add(server, l)
	return nil
}

func (d *Daemon) callersServer() (*http.Server, error) {
	handler := entry.NewHandler(d.board, d.dispatcher, d.self.FailureDomain, d.settings.Drain.EntrypointTTL,
		entry.WithFiles(d.batch.files), entry.WithBatches(d.batch.jobs, jobFiles{d.batch.files}))
	return entry.NewServer(handler, entry.Options{
		MaxBodyBytes: d.settings.Requests.MaxBodyBytes,
		MaxInFlight:  d.settings.Requests.MaxInFlight,
		Draining:     d.draining,
	})
}

func (d *Daemon) peersServer() (*http.Server, error) {
	handler, err := peer.NewHandler(peer.Handlers{
		Probe:         d.members.prober.HandleProbe,
		ProbeIndirect: d.members.prober.HandleIndirect,
		Manifest:      d.manifest,
		Section:       d.section,
		Delta:         d.bundles.Delta,
		Decisions:     d.board.Decisions.Find,
		Blobs:         d.batch.handlers(),
	}, [][sha256.Size]byte{d.peerToken})
	if err != nil {
		return nil, err
	}
	return &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: peer.ServerIdleTimeout}, nil
}

func (d *Daemon) operatorsServer() (*http.Server, error) {
	handler, err := operations.NewHandler(operations.Parts{
		Instance:    d.self.ID,
		Board:       d.board,
		Store:       d.store,
		Verifier:    d.verifier,
		Decisions:   d.peers.Decisions,
		OnRolled:    d.bundles.AcceptRolled,
		Jobs:        d.batch.jobs,
		TokenSHA256: d.settings.Operators.TokenSHA256,
	})
	if err != nil {
		return nil, err
	}
	return operations.NewServer(handler, d.Ready, d.metrics)
}

func (d *Daemon) manifest() (bundle.SignedManifest, bool) {
	if active := d.board.Bundle.Current(); active != nil {
		return active.Manifest(), true
	}
	return bundle.SignedManifest{}, false
}

func (d *Daemon) section(digest string) ([]byte, bool) {
	if active := d.board.Bundle.Current(); active != nil {
		return active.Section(digest)
	}
	return nil, false
}

// drain announces to the peers that the instance is draining, so that its address is no longer handed out to callers. It keeps serving
// until the addresses that callers already have are past their TTL, and then waits up to the grace period for the running requests and
// batch work to end.
func (d *Daemon) drain(servers *serverSet) error {
	d.drainOnce.Do(func() { close(d.drainStarted) })
	ctx := context.Background()
	d.members.prober.Drain(ctx)
	wait.For(ctx, d.settings.Drain.EntrypointTTL+drainMargin)
	ctx, cancel := context.WithTimeout(ctx, d.settings.Drain.Grace)
	defer cancel()
	if err := servers.callers.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests were still running at the end of the drain's grace period")
	}
	return d.batch.runner.Drain(ctx)
}

// releaseTimeout bounds the store calls that release the leases; leases that are not released expire.
const releaseTimeout = 2 * time.Second

// releaseLeases releases the shards and the membership record of this instance, so that other instances need not wait until the leases
// expire. It must be called after everything else has stopped. It does nothing after Kill, as a crashed instance releases nothing either.
func (d *Daemon) releaseLeases() error {
	select {
	case <-d.killed:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := errors.Join(d.batch.close(ctx), d.members.close(ctx)); err != nil {
		klog.ErrorS(err, "Failed to release leases; they expire on their own")
	}
	return nil
}

// drainMargin covers the time until all other instances have learned of the drain; until then they may still hand out the address.
const drainMargin = 3 * time.Second

// peerAddresses returns the peer addresses of the instances that bundles may be fetched from: all others that are not dead.
func (d *Daemon) peerAddresses() []string {
	var addresses []string
	for _, m := range d.board.Members.All() {
		if m.ID != d.self.ID && m.State != fleet.MemberDead && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}
