package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// crashProbeTimeout bounds the connection by which a crash is confirmed. The round trip to another region takes 25 ms, and a lost packet is sent
	// again after a second only, so that an answer that takes longer is none.
	crashProbeTimeout = 400 * time.Millisecond
	// maxCrashProbes bounds the probes at once.
	maxCrashProbes = 16
	// maxBrokenTries bounds the tries that wait for the confirmation of one target's crash, above the connections that an instance has to a target.
	maxBrokenTries = 64
	// crashMemory is how long a confirmed crash explains further tries that break at the same process: their connections end at about the same time.
	crashMemory = time.Second
	// brokenMemory is how long a target that crashed is remembered, about until it is back. Requests that are sent to it before are under no crash.
	brokenMemory = 5 * time.Second
	// resetMemory is how long tries are kept that broke off without a confirmed crash, since the next process of a target that starts again at once accepts
	// connections. Its entry follows within this time.
	resetMemory = 3 * time.Second
	// aliveDelay is the time after the end of an answer from which on a target that sends something has outlived it. What it sent before may still be read
	// for a while after that.
	aliveDelay = 150 * time.Millisecond
	// endProbeDelay is the time after which a target is probed that sent nothing since the end of an answer.
	endProbeDelay = 400 * time.Millisecond
	// maxUnframedEnds bounds the answers whose completeness is not known yet; further ones count for nothing.
	maxUnframedEnds = 1024
)

// brokenTry is a try whose connection ended before its answer was complete.
type brokenTry struct {
	request *Request
	at      time.Time
}

// brokenTarget is a target at which tries broke.
type brokenTarget struct {
	slots.Target
	tries     []brokenTry // that wait for a probe
	resets    []brokenTry // for which a probe found no crash; see findRestarts
	probing   bool
	crashedAt time.Time // when the last confirmed crash was seen; zero if there was none
}

// unframedEnd is an answer whose end is that of its connection: complete, or cut by a crash.
type unframedEnd struct {
	reservation *Reservation
	brokenTry
}

// tryEnded takes the end of a try, with the response if its header arrived, as evidence for or against the parts of the request. ctx is that of the
// try: one that this instance ended says nothing.
func (g *PartGuard) tryEnded(ctx context.Context, r *Request, reservation *Reservation, response *rawhttp.Response, err error) {
	if g == nil || len(r.Parts) == 0 {
		return
	}
	now := time.Now()
	switch {
	case err == nil && (response.Status < http.StatusOK || response.Status >= http.StatusMultipleChoices):
	case err == nil && response.Framed:
		g.completed(r.Parts, now)
	case err == nil:
		g.endedUnframed(reservation, brokenTry{r, now})
	case ctx.Err() == nil && brokeOff(response, err):
		g.brokeOff(reservation, brokenTry{r, now})
	}
}

// brokeOff reports whether a try failed because its target, or the path to it, ended the connection after the request was sent.
func brokeOff(response *rawhttp.Response, err error) bool {
	if response == nil {
		return errors.Is(err, httpcall.ErrOutcomeUnknown) && isConnectionLost(err)
	}
	return errors.Is(err, errTruncated) && (!response.Framed || isConnectionLost(err))
}

// isConnectionLost reports whether an error is that of a connection which the other side closed or reset.
func isConnectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// brokeOff records a try that broke off and starts to look for the cause. The end of a target that is leaving is no crash.
func (g *PartGuard) brokeOff(reservation *Reservation, try brokenTry) {
	target := reservation.Target
	if !g.board.accepts(target.ID) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.brokenTarget(target)
	if !b.crashedAt.IsZero() && reservation.placed.After(b.crashedAt) && !reservation.activeSince(b.crashedAt) {
		return // sent on a connection that had ended with the crash
	}
	if len(b.tries) >= maxBrokenTries {
		g.unhandled.Inc(1)
		return
	}
	b.tries = append(b.tries, try)
	switch {
	case !b.crashedAt.IsZero() && try.at.Sub(b.crashedAt) < crashMemory:
		g.crashed(b)
	case !b.probing:
		if b.probing = g.startProbe(target, func(gone bool) { g.probed(b, gone) }); !b.probing {
			g.setAside(b)
		}
	}
}

// brokenTarget returns the record of a target's process; g.mu is held.
func (g *PartGuard) brokenTarget(target slots.Target) *brokenTarget {
	b := g.broken[target.ID]
	if b == nil || b.Started != target.Started {
		b = &brokenTarget{Target: target}
		g.broken[target.ID] = b
	}
	return b
}

// startProbe connects to a target and then calls done, which says whether it is gone. It returns false if there are too many probes; g.mu is held.
func (g *PartGuard) startProbe(target slots.Target, done func(gone bool)) bool {
	if g.probing >= maxCrashProbes || g.ctx.Err() != nil {
		return false
	}
	g.probing++
	started := time.Now()
	g.probes.Go(func() {
		gone := g.isGone(target, started)
		g.mu.Lock()
		g.probing--
		g.mu.Unlock()
		if g.ctx.Err() == nil {
			done(gone)
		}
	})
	return true
}

// isGone reports whether nothing accepts connections at the address of a target. An address that does not answer counts only if other targets do since the
// probe started: otherwise it may be this instance that is cut off.
func (g *PartGuard) isGone(target slots.Target, started time.Time) bool {
	ctx, cancel := context.WithTimeout(g.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := g.dial(ctx, "tcp", target.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	var timeout net.Error
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	if errors.As(err, &timeout) || errors.Is(err, context.DeadlineExceeded) {
		return g.board.heardOthers(target.ID, started)
	}
	klog.V(1).InfoS("Probe of a target that broke off failed", "target", target.ID, "cause", err.Error())
	return false
}

// probed applies the result of a probe to the tries that wait for it. Without a crash they are kept for a while, see findRestarts.
func (g *PartGuard) probed(b *brokenTarget, gone bool) {
	gone = gone && (g.board.accepts(b.ID) || g.board.isReplaced(b.Target))
	g.mu.Lock()
	defer g.mu.Unlock()
	b.probing = false
	if gone {
		g.crashed(b)
		return
	}
	g.unconfirmed.Inc(int64(len(b.tries)))
	g.setAside(b)
	wait.Wake(g.changed)
}

// setAside keeps tries that are not under a confirmed crash for findRestarts. Only those that broke off last can be under the same restart; g.mu is held.
func (g *PartGuard) setAside(b *brokenTarget) { b.resets, b.tries = b.tries, nil }

// crashed records a confirmed crash for the tries that waited for it; g.mu is held.
func (g *PartGuard) crashed(b *brokenTarget) {
	now := time.Now()
	tries := b.tries
	b.tries = nil
	if b.crashedAt.IsZero() || now.Sub(b.crashedAt) >= crashMemory {
		b.crashedAt = now
		g.crashes.Inc(1)
		klog.InfoS("Target crashed", "target", b.ID, "address", b.Address, "requests", len(tries))
	}
	var records []poison.Record
	for _, t := range tries {
		crash := poison.Crash{Target: b.ID, Parts: t.request.Parts, Caller: callerOf(t.request), Request: t.request.ID, At: t.at}
		records = append(records, g.tracker.Crashed(crash, now)...)
	}
	g.announce(records, now)
}

// findRestarts looks for targets that broke off, accepted the probe and are listed as another process now: they crashed and started again at once. It
// forgets old ones. The caller does not hold g.mu.
func (g *PartGuard) findRestarts(now time.Time) {
	g.mu.Lock()
	var waiting []*brokenTarget
	for id, b := range g.broken {
		if len(b.resets) > 0 && now.Sub(b.resets[0].at) > resetMemory {
			b.resets = nil
		}
		switch {
		case len(b.resets) > 0:
			waiting = append(waiting, b)
		case !b.probing && now.Sub(b.crashedAt) > brokenMemory:
			delete(g.broken, id)
		}
	}
	g.mu.Unlock()
	for _, b := range waiting {
		if !g.board.isReplaced(b.Target) {
			continue
		}
		g.mu.Lock()
		b.tries, b.resets = append(b.tries, b.resets...), nil
		g.crashed(b)
		g.mu.Unlock()
	}
}

// endedUnframed records an answer that is complete if its target goes on.
func (g *PartGuard) endedUnframed(reservation *Reservation, try brokenTry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.ends) < maxUnframedEnds {
		g.ends = append(g.ends, unframedEnd{reservation: reservation, brokenTry: try})
	}
}

// maxEndAge is how long an answer without a framing is kept while no probe can be made.
const maxEndAge = 5 * time.Second

// checkEnds decides on the answers without a framing: complete if the target sent anything later or accepts a connection, otherwise under a crash. The
// caller does not hold g.mu.
func (g *PartGuard) checkEnds(now time.Time) {
	g.mu.Lock()
	ends := g.ends
	g.ends = nil
	g.mu.Unlock()
	var left []unframedEnd
	quiet := make(map[fleet.TargetID][]unframedEnd)
	for _, e := range ends {
		switch {
		case e.reservation.activeSince(e.at.Add(aliveDelay)):
			g.completed(e.request.Parts, now)
		case now.Sub(e.at) < endProbeDelay:
			left = append(left, e)
		case now.Sub(e.at) < maxEndAge:
			quiet[e.reservation.Target.ID] = append(quiet[e.reservation.Target.ID], e)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, list := range quiet {
		if !g.startProbe(list[0].reservation.Target, func(gone bool) { g.endsProbed(list, gone) }) {
			left = append(left, list...)
		}
	}
	g.ends = append(left, g.ends...)
}

// endsProbed applies the result of a probe to answers of one target.
func (g *PartGuard) endsProbed(ends []unframedEnd, gone bool) {
	target := ends[0].reservation.Target
	if !gone {
		for _, e := range ends {
			g.completed(e.request.Parts, time.Now())
		}
		return
	}
	if !g.board.accepts(target.ID) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.brokenTarget(target)
	for _, e := range ends {
		b.tries = append(b.tries, e.brokenTry)
	}
	g.crashed(b)
}
