package bulk

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/detach"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// blob is content with its digest.
type blob struct {
	digest  string
	content []byte
}

// placement is the state of writing one blob to several holders.
type placement struct {
	queue   []fleet.Member               // candidates not yet tried, preferred ones first
	domain  map[fleet.FailureDomain]bool // domains of holders that have the blob or are being written to and are not slow
	stored  map[fleet.FailureDomain]bool // domains of holders that have the blob
	running map[fleet.InstanceID]bool    // candidates that are being written to; false for a slow one
	done    []fleet.InstanceID           // holders that acknowledged the blob
}

// attempt is the result of writing the blob to one candidate.
type attempt struct {
	member fleet.Member
	err    error
}

// place writes the blob to need candidates in different failure domains, none of which is in taken. A candidate that fails is replaced by the next
// one. For one that takes longer than peer.BlobTimeout the next one is tried too, and whichever is first counts. It returns the need holders that
// acknowledged the blob, or ErrNoHolders if too few did. The content is not read after place has returned.
func (s *Store) place(ctx context.Context, b blob, candidates []fleet.Member, taken []fleet.FailureDomain, need int) ([]fleet.InstanceID, error) {
	p := &placement{
		queue:   slices.Clone(candidates),
		domain:  make(map[fleet.FailureDomain]bool),
		stored:  make(map[fleet.FailureDomain]bool),
		running: make(map[fleet.InstanceID]bool),
	}
	for _, domain := range taken {
		p.domain[domain], p.stored[domain] = true, true
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	results, slow := make(chan attempt, len(candidates)), make(chan fleet.Member, len(candidates))
	for len(p.done) < need {
		for p.prompt() < need-len(p.done) {
			member, ok := p.next()
			if !ok {
				break
			}
			group.Go(func() {
				timer := time.AfterFunc(peer.BlobTimeout(int64(len(b.content))), func() { slow <- member })
				defer timer.Stop()
				results <- attempt{member: member, err: s.write(ctx, member, b)}
			})
		}
		if len(p.running) == 0 {
			return nil, eris.Wrapf(ErrNoHolders, "%d of %d", len(p.done), need)
		}
		select {
		case a := <-results:
			p.recordResult(b.digest, a)
		case member := <-slow:
			p.recordSlow(b.digest, member)
		}
	}
	return p.done, nil
}

// prompt returns the number of candidates that are being written to and are not slow.
func (p *placement) prompt() int {
	n := 0
	for _, prompt := range p.running {
		if prompt {
			n++
		}
	}
	return n
}

// next removes the first candidate whose failure domain is free from the queue, marks that domain as used and returns the candidate. It
// returns false if there is none.
func (p *placement) next() (fleet.Member, bool) {
	i := slices.IndexFunc(p.queue, func(m fleet.Member) bool { return !p.domain[m.FailureDomain] })
	if i < 0 {
		return fleet.Member{}, false
	}
	member := p.queue[i]
	p.queue = slices.Delete(p.queue, i, i+1)
	p.domain[member.FailureDomain], p.running[member.ID] = true, true
	return member, true
}

// recordResult adds the holder to done if the attempt succeeded, unless another one of its failure domain is; otherwise it frees the domain for
// another candidate.
func (p *placement) recordResult(digest string, a attempt) {
	prompt, domain := p.running[a.member.ID], a.member.FailureDomain
	delete(p.running, a.member.ID)
	switch {
	case a.err == nil && !p.stored[domain]:
		p.done = append(p.done, a.member.ID)
		p.domain[domain], p.stored[domain] = true, true
	case a.err != nil:
		klog.InfoS("Disk holder did not store a blob", "holder", a.member.ID, "digest", digest, "reason", a.err.Error())
		if prompt && !p.stored[domain] {
			delete(p.domain, domain)
		}
	}
}

// recordSlow frees the failure domain of a candidate that is still being written to for another one.
func (p *placement) recordSlow(digest string, m fleet.Member) {
	if !p.running[m.ID] {
		return
	}
	klog.InfoS("Disk holder is slow to store a blob", "holder", m.ID, "digest", digest, "others", len(p.queue))
	p.running[m.ID] = false
	if !p.stored[m.FailureDomain] {
		delete(p.domain, m.FailureDomain)
	}
}

// write stores the blob on the disk of one instance, which may be this one.
func (s *Store) write(ctx context.Context, m fleet.Member, b blob) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if m.ID != s.config.Self {
		return s.config.Peers.PutBlob(ctx, m.PeerAddress, b.digest, b.content)
	}
	if s.config.Disk == nil {
		return eris.Wrap(peer.ErrNotFound, "instance has no disk")
	}
	ctx, cancel := context.WithTimeout(ctx, peer.PutBlobTimeout(int64(len(b.content))))
	defer cancel()
	return s.writeLocal(ctx, b)
}

// writeLocal stores the blob on the local disk. It returns when ctx ends, even if the disk hangs, and the content is not read afterwards.
func (s *Store) writeLocal(ctx context.Context, b blob) error {
	content := detach.NewReader(b.content)
	defer content.Detach()
	done := make(chan error, 1)
	go func() { done <- s.config.Disk.Put(b.digest, content) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "local disk did not store the blob in time")
	}
}
