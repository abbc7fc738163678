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
	// maxAskedPeers is the maximum number of peers that a starting instance asks. One is enough unless peers are partitioned.
	maxAskedPeers = 16
	// maxPeerCalls is the maximum number of concurrent calls to peers.
	maxPeerCalls = 8
	// maxHintedPeers is the maximum number of peers tried in one pass before the store is asked.
	maxHintedPeers = 3
)

// start puts the first bundle in force: that of the store or, if the store supplies no usable one, the verified bundle of the highest
// generation among the peers. It refuses a peer's bundle of a lower generation than the store or another peer claimed to have,
// since the instance would then serve an outdated configuration; a later pass tries that peer and the store again.
func (c *Controller) start(ctx context.Context) error {
	err := c.pull(ctx, c.newAssistedSource(), 0)
	if err == nil {
		return nil
	}
	klog.InfoS("Bundle not available from the store; asking peers", "reason", err.Error())
	for _, offer := range c.requestOffers(ctx) {
		if claimed := c.highestClaimed(); offer.generation < claimed {
			err = errors.Join(err, eris.Wrapf(ErrBelowClaimed, "%s has generation %d, the highest claimed is %d", offer.from.name(), offer.generation, claimed))
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

// highestClaimed returns the highest generation that the store or a peer claimed to have.
func (c *Controller) highestClaimed() fleet.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Highest()
}

// offer is a manifest whose signatures are verified, with the peer that supplied it.
type offer struct {
	from       peerSource
	signed     bundle.SignedManifest
	generation fleet.Generation
}

// requestOffers returns the verified manifests of the peers chosen by choosePeers, highest generation first.
func (c *Controller) requestOffers(ctx context.Context) []offer {
	var mu sync.Mutex // guards offers
	var offers []offer
	var group errgroup.Group
	group.SetLimit(maxPeerCalls)
	for _, peer := range c.choosePeers() {
		group.Go(func() error {
			got, err := c.requestOffer(ctx, peerSource{peers: c.Peers, peer: peer})
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
	_ = group.Wait() // always nil: failures are logged above
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.generation, a.generation), cmp.Compare(a.from.peer, b.from.peer))
	})
	return offers
}

func (c *Controller) requestOffer(ctx context.Context, from peerSource) (offer, error) {
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

// choosePeers returns the peers that gave hints, followed by random other peers up to maxAskedPeers in all.
func (c *Controller) choosePeers() []string {
	peers := slices.Clone(c.PeerAddresses())
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

// catchUp tries the sources that the hints name, highest generation first, then the store. All hints are dropped, even if their source
// fails; peers that still have a higher generation repeat them with the next probe.
func (c *Controller) catchUp(ctx context.Context) error {
	hints := c.takeHints()
	if len(hints) == 0 {
		return nil // a bundle put in force in the meantime made them obsolete
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

// takeHints removes and returns all hints, highest generation first; of equal generations, peers come before the store.
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

// pollStore reads the head and pulls its generation if that is newer than the one in force.
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
