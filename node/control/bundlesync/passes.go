package bundlesync

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const (
	// maxAskedPeers bounds the peers that a starting instance asks; one peer is enough unless peers are partitioned.
	maxAskedPeers = 16
	// peerAsks bounds the calls to peers under way at once.
	peerAsks = 8
	// maxHintedPeers bounds the peers tried in one pass before the store is asked.
	maxHintedPeers = 3
)

// start puts the first bundle in force: that of the store, or while the store has no usable answer the highest generation that
// peers have and that verifies. A peer's bundle below a generation that another peer claimed on a probe to have in force is refused:
// the instance would serve less than it could have known. It then waits for that peer or for the store.
func (c *Controller) start(ctx context.Context) error {
	err := c.pull(ctx, c.assisted(), 0)
	if err == nil {
		return nil
	}
	klog.InfoS("Bundle not available from the store, asking peers", "reason", err.Error())
	for _, offer := range c.askPeers(ctx) {
		if heard := c.heard(); offer.generation < heard {
			err = errors.Join(err, eris.Wrapf(ErrBelowHeard, "%s has generation %d, heard of %d", offer.from.name(), offer.generation, heard))
			continue
		}
		pullErr := c.pullSections(ctx, offer.from, offer.signed)
		if pullErr == nil {
			return nil
		}
		err = errors.Join(err, pullErr)
	}
	return errors.Join(ErrNoSource, err)
}

// heard returns the highest generation that a peer claimed to have in force.
func (c *Controller) heard() fleet.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Highest()
}

// offer is a verified manifest and the peer that has its sections.
type offer struct {
	from       peerSource
	signed     bundle.SignedManifest
	generation fleet.Generation
}

// askPeers returns the verified manifests of a random choice of peers, highest generation first.
func (c *Controller) askPeers(ctx context.Context) []offer {
	var mu sync.Mutex // guards offers
	var offers []offer
	var group errgroup.Group
	group.SetLimit(peerAsks)
	for _, peer := range c.somePeers() {
		group.Go(func() error {
			got, err := c.ask(ctx, peerSource{peers: c.Peers, peer: peer})
			if err != nil {
				klog.V(2).InfoS("Peer has no usable bundle", "peer", peer, "reason", err.Error())
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			offers = append(offers, got)
			return nil
		})
	}
	_ = group.Wait() // failures are logged above
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.generation, a.generation), cmp.Compare(a.from.peer, b.from.peer))
	})
	return offers
}

func (c *Controller) ask(ctx context.Context, from peerSource) (offer, error) {
	signed, err := from.manifest(ctx)
	if err != nil {
		return offer{}, err
	}
	manifest, err := c.Verifier.Verify(signed)
	if err != nil {
		return offer{}, err
	}
	return offer{from: from, signed: signed, generation: manifest.Generation}, nil
}

// somePeers returns the peers that gave hints and a random choice of the others.
func (c *Controller) somePeers() []string {
	peers := slices.Clone(c.Addresses())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var chosen []string
	for _, h := range c.hints {
		if h.peer != "" {
			chosen = append(chosen, h.peer)
		}
	}
	for _, peer := range peers {
		if len(chosen) >= maxAskedPeers {
			break
		}
		if !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// catchUp follows the hints, highest generation first, then asks the store. Hints that were tried are dropped; peers that still
// have a higher generation give them again with the next probe.
func (c *Controller) catchUp(ctx context.Context) error {
	hints := c.takeHints()
	if len(hints) == 0 {
		return nil // a bundle that was put in force meanwhile has answered them
	}
	var failures error
	tried := 0
	for _, h := range hints {
		if h.generation <= c.Table.Generation() {
			continue
		}
		if h.peer != "" && tried == maxHintedPeers {
			continue
		}
		if h.peer != "" {
			tried++
		}
		if err := c.pull(ctx, c.sourceOf(h), h.generation); err != nil {
			failures = errors.Join(failures, err)
		}
	}
	if hints[0].generation <= c.Table.Generation() {
		return nil
	}
	return errors.Join(failures, c.pollStore(ctx))
}

func (c *Controller) sourceOf(h hint) source {
	if h.peer == "" {
		return storeSource{c.Store}
	}
	return peerSource{peers: c.Peers, peer: h.peer}
}

// takeHints removes and returns all hints, highest generation first and at equal generation the peers before the store.
func (c *Controller) takeHints() []hint {
	c.mu.Lock()
	defer c.mu.Unlock()
	hints := c.hints
	c.hints = nil
	slices.SortStableFunc(hints, func(a, b hint) int {
		return cmp.Or(cmp.Compare(b.generation, a.generation), cmp.Compare(b.peer, a.peer))
	})
	return hints
}

// pollStore reads the head and pulls what it names if that is newer.
func (c *Controller) pollStore(ctx context.Context) error {
	src := storeSource{c.Store}
	head, err := src.head(ctx)
	if errors.Is(err, kv.ErrNotFound) {
		return eris.Wrap(ErrNoSource, "the store has no bundle")
	}
	if err != nil {
		return err
	}
	if head.Generation <= c.Table.Generation() {
		return nil
	}
	return c.pull(ctx, src, head.Generation)
}
