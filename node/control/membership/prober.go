package membership

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// ProbeInterval is the interval at which the worker pool should run the Prober. It should also run when the bundle changes.
const ProbeInterval = membership.DefaultProbeInterval

// maxConcurrentCalls is the maximum number of calls to peers in flight. A tick starts at most 3 probes, each followed by up to 3 indirect
// ones, which last at most 1.5 s; the limit is never reached while the peers respond.
const maxConcurrentCalls = 16

// Transport sends probes; *peer.Client implements it.
type Transport interface {
	Probe(ctx context.Context, address string, p membership.Probe) (membership.Probe, error)
	ProbeIndirect(ctx context.Context, from fleet.InstanceID, r membership.IndirectRequest) (peer.IndirectResult, error)
}

// Prober runs the failure detector: it sends its probes and handles the probes of peers.
type Prober struct {
	view      *View
	transport Transport
	inFlight  func() int
	slots     chan struct{}
	calls     sync.WaitGroup
	announced fleet.Generation // used by Reconcile only, which does not run concurrently with itself
}

// NewProber returns a Prober. inFlight returns the number of requests in flight at this instance.
func NewProber(view *View, transport Transport, inFlight func() int) *Prober {
	return &Prober{view: view, transport: transport, inFlight: inFlight, slots: make(chan struct{}, maxConcurrentCalls)}
}

// Name implements workers.Controller.
func (p *Prober) Name() string { return "membership-prober" }

// Reconcile implements workers.Controller. It starts the probes that are due and does not wait for them.
func (p *Prober) Reconcile(ctx context.Context) error {
	generation := p.view.board.Bundle.Generation()
	var out []membership.Outgoing
	p.view.update(func(d *membership.Detector, now time.Time) {
		d.SetSelf(generation, p.inFlight())
		out = d.Tick(now)
		if d.DrainingSelf(now) && d.Self().State != fleet.MemberDraining {
			out = append(out, d.Drain(now)...) // the instance list has this instance as draining
		}
		if generation > p.announced {
			out = append(out, d.Announce()...)
		}
	})
	p.announced = generation
	p.send(ctx, out)
	return nil
}

// Drain marks this instance as draining and announces it to several peers at once. It does not wait for their responses.
func (p *Prober) Drain(ctx context.Context) {
	var out []membership.Outgoing
	p.view.update(func(d *membership.Detector, now time.Time) { out = d.Drain(now) })
	p.send(ctx, out)
}

// Wait waits for all calls to peers to end. The contexts passed to Reconcile and Drain must be canceled first.
func (p *Prober) Wait() { p.calls.Wait() }

func (p *Prober) send(ctx context.Context, out []membership.Outgoing) {
	for _, o := range out {
		p.start(func() { p.probe(ctx, o) })
	}
}

// start runs call in its own goroutine. If maxConcurrentCalls are in flight, it drops the call; the failure detector then records neither
// a success nor a failure of the peer.
func (p *Prober) start(call func()) {
	select {
	case p.slots <- struct{}{}:
	default:
		klog.V(1).InfoS("Peer call dropped: too many calls in flight", "limit", maxConcurrentCalls)
		return
	}
	p.calls.Go(func() {
		defer func() { <-p.slots }()
		call()
	})
}

func (p *Prober) probe(ctx context.Context, o membership.Outgoing) {
	ack, err := p.transport.Probe(ctx, o.Address, o.Probe)
	if ctx.Err() != nil {
		return
	}
	if err == nil && p.acknowledged(o.To, ack) {
		return
	}
	klog.V(1).InfoS("Probe failed", "peer", o.To, "address", o.Address, "err", err)
	var requests []membership.IndirectRequest
	p.view.update(func(d *membership.Detector, now time.Time) { requests = d.HandleProbeFailed(now, o.To) })
	for _, r := range requests {
		p.start(func() { p.probeIndirect(ctx, r) })
	}
}

func (p *Prober) acknowledged(from fleet.InstanceID, ack membership.Probe) (ok bool) {
	p.view.update(func(d *membership.Detector, now time.Time) { ok = d.HandleAck(now, from, ack) })
	return ok
}

func (p *Prober) probeIndirect(ctx context.Context, r membership.IndirectRequest) {
	result, err := p.transport.ProbeIndirect(ctx, p.view.Self().ID, r)
	if ctx.Err() != nil {
		return
	}
	reached := err == nil && result.Reached
	p.view.update(func(d *membership.Detector, now time.Time) {
		d.HandleIndirectResult(now, r.Subject, reached, result.Incarnation)
	})
}

// HandleProbe handles a peer's probe and returns the acknowledgement. It is used in peer.Handlers.
func (p *Prober) HandleProbe(_ context.Context, probe membership.Probe) (ack membership.Probe) {
	p.view.update(func(d *membership.Detector, now time.Time) { ack = d.HandleProbe(now, probe) })
	return ack
}

// HandleIndirect probes subject on behalf of a peer. It is used in peer.Handlers. It ignores the address in the peer's request and uses
// the one that this instance has for subject, so that a peer cannot have the bearer token sent to an arbitrary address.
func (p *Prober) HandleIndirect(ctx context.Context, subject fleet.InstanceID, _ string) peer.IndirectResult {
	var out membership.Outgoing
	var known bool
	p.view.update(func(d *membership.Detector, _ time.Time) { out, known = d.ProbeOf(subject) })
	if !known {
		return peer.IndirectResult{}
	}
	ack, err := p.transport.Probe(ctx, out.Address, out.Probe)
	if err != nil || !p.acknowledged(subject, ack) {
		return peer.IndirectResult{}
	}
	return peer.IndirectResult{Reached: true, Incarnation: ack.Incarnation}
}
