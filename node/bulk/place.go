package bulk

import (
	"context"
	"slices"

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
	queue  []fleet.Member               // candidates not yet tried, preferred ones first
	domain map[fleet.FailureDomain]bool // domains of holders that have the blob or are being written to
	done   []fleet.InstanceID           // holders that acknowledged the blob
}

// attempt is the result of writing the blob to one candidate.
type attempt struct {
	member fleet.Member
	err    error
}

// place writes the blob to need candidates in different failure domains, none of which is in taken. A candidate that fails is replaced
// by the next one. It returns the need holders that acknowledged the blob, or ErrNoHolders if too few did. The content is not read after
// place has returned.
func (s *Store) place(ctx context.Context, b blob, candidates []fleet.Member, taken []fleet.FailureDomain, need int) ([]fleet.InstanceID, error) {
	p := &placement{queue: slices.Clone(candidates), domain: make(map[fleet.FailureDomain]bool)}
	for _, domain := range taken {
		p.domain[domain] = true
	}
	results := make(chan attempt, need)
	running := 0
	for len(p.done) < need {
		for running < need-len(p.done) {
			member, ok := p.next()
			if !ok {
				break
			}
			running++
			go func() { results <- attempt{member: member, err: s.write(ctx, member, b)} }()
		}
		if running == 0 {
			return nil, eris.Wrapf(ErrNoHolders, "%d of %d", len(p.done), need)
		}
		p.recordResult(b.digest, <-results)
		running--
	}
	return p.done, nil
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
	p.domain[member.FailureDomain] = true
	return member, true
}

// recordResult adds the holder to done if the attempt succeeded; otherwise it frees the holder's failure domain for another candidate.
func (p *placement) recordResult(digest string, a attempt) {
	if a.err == nil {
		p.done = append(p.done, a.member.ID)
		return
	}
	klog.InfoS("Disk holder did not store a blob", "holder", a.member.ID, "digest", digest, "reason", a.err.Error())
	delete(p.domain, a.member.FailureDomain)
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
	ctx, cancel := context.WithTimeout(ctx, peer.BlobTimeout(int64(len(b.content))))
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
