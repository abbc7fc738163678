package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// partTick is the interval of the exchange's periodic work: asking peers, and deciding on tries that broke off.
	partTick = 250 * time.Millisecond
	// newsRepeatDelay is the time after which news is sent again, since datagrams get lost.
	newsRepeatDelay = 100 * time.Millisecond
	// antiEntropyInterval is the interval at which records are sent to antiEntropyPeers random peers while there are any.
	antiEntropyInterval = time.Second
	antiEntropyPeers    = 2
	// antiEntropyRecords bounds the records that are sent at once, a few datagrams.
	antiEntropyRecords = 16
	// answerRecords bounds the records in the answer to a peer that asks.
	answerRecords = 64
	// maxAsksPerTick bounds the peers that are asked in one tick, and maxAsks how often each is asked without an answer.
	maxAsksPerTick = 64
	maxAsks        = 20
	// maxSavedParts bounds the parts in a datagram that were written to the store. A peer that does not hear of one tries to write it too.
	maxSavedParts = 8
	// maxPartDatagram is the size in bytes at which a datagram is split, so that it fits into one packet of the usual networks.
	maxPartDatagram = 1400
	// pauseNoticed is the time between two ticks which shows that the process was paused. It may have missed news.
	pauseNoticed = time.Second
)

// partMessage is the content of a datagram about parts, which instances exchange on the socket of Peers. Its only field at the top level is "h". Instances
// of earlier builds ignore the datagram as one of an unknown sender.
type partMessage struct {
	From    fleet.InstanceID `json:"f"`
	Asks    bool             `json:"a,omitempty"` // the receiver is to send its records
	Answers bool             `json:"r,omitempty"` // answers a datagram of the receiver, which sends no answer to this one
	// Last tells the receiver that its question is answered.
	Last    bool            `json:"l,omitempty"`
	Saved   []poison.Part   `json:"s,omitempty"` // parts that the sender has written to the store
	Records []poison.Record `json:"p,omitempty"`
}

// partPrefix is the beginning of each datagram about parts, which tells them apart without decoding.
var partPrefix = []byte(`{"h":`)

// exchange is the state of the exchange with the peers; PartGuard.mu guards it.
type exchange struct {
	news  map[poison.Part]poison.Record // to be sent to all peers
	again map[poison.Part]poison.Record // sent once, due again at againAt
	// againAt is zero while again is empty.
	againAt time.Time
	stored  []poison.Part                   // written to the store since the last round
	asked   map[fleet.InstanceID]*askedPeer // peers in touch
}

// askedPeer is a peer that was or is to be asked for its records.
type askedPeer struct {
	incarnation uint64
	asks        int
	answered    bool
}

// runExchange sends news, asks peers and repairs what was lost, until ctx ends.
func (g *PartGuard) runExchange(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticked, repaired := time.Now(), time.Now()
	for {
		select {
		case <-g.changed:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		g.sendNews(now)
		if now.Sub(ticked) >= partTick {
			g.askPeers(now, now.Sub(ticked) > pauseNoticed)
			g.findRestarts(now)
			g.checkEnds(now)
			ticked = now
		}
		if now.Sub(repaired) >= antiEntropyInterval {
			repaired = now
			g.sendRecords(now)
		}
		next := ticked.Add(partTick)
		g.mu.Lock()
		if !g.againAt.IsZero() && g.againAt.Before(next) {
			next = g.againAt
		}
		g.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

// sendNews sends records that are new, and those that were new newsRepeatDelay before, to all known peers.
func (g *PartGuard) sendNews(now time.Time) {
	g.mu.Lock()
	var records []poison.Record
	if !g.againAt.IsZero() && !now.Before(g.againAt) {
		for _, r := range g.again {
			records = append(records, r)
		}
		clear(g.again)
		g.againAt = time.Time{}
	}
	for part, r := range g.news {
		records = append(records, r)
		g.again[part] = r
	}
	if len(g.news) > 0 {
		clear(g.news)
		if g.againAt.IsZero() {
			g.againAt = now.Add(newsRepeatDelay)
		}
	}
	stored := g.stored[:min(len(g.stored), maxSavedParts)]
	g.stored = nil
	g.mu.Unlock()
	if len(records) == 0 && len(stored) == 0 {
		return
	}
	datagrams := g.encode(partMessage{Records: records, Saved: stored})
	for _, address := range g.peers.allAddresses() {
		g.send(address, datagrams, len(records))
	}
}

// askPeers asks peers for their records that are new here, were started again or were out of touch. With paused, it asks all.
func (g *PartGuard) askPeers(now time.Time, paused bool) {
	reachable := g.peers.inTouch(now)
	var ask []fleet.InstanceID
	g.mu.Lock()
	for id := range g.asked {
		if _, left := reachable[id]; !left {
			delete(g.asked, id)
		}
	}
	for id, incarnation := range reachable {
		peer := g.asked[id]
		if peer == nil || paused || peer.incarnation != incarnation {
			peer = &askedPeer{incarnation: incarnation}
			g.asked[id] = peer
		}
		if !peer.answered && peer.asks < maxAsks && len(ask) < maxAsksPerTick {
			peer.asks++
			ask = append(ask, id)
		}
	}
	records := g.tracker.Records(antiEntropyRecords, now)
	g.mu.Unlock()
	if len(ask) == 0 {
		return
	}
	datagrams := g.encode(partMessage{Asks: true, Records: records})
	for _, id := range ask {
		if address, known := g.peers.peerAddress(id); known {
			g.send(address, datagrams, len(records))
		}
	}
}

// sendRecords sends some records to random peers.
func (g *PartGuard) sendRecords(now time.Time) {
	g.mu.Lock()
	records := g.tracker.Records(antiEntropyRecords, now)
	g.mu.Unlock()
	if len(records) == 0 {
		return
	}
	datagrams := g.encode(partMessage{Records: records})
	addresses := g.peers.allAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), antiEntropyPeers)] {
		g.send(address, datagrams, len(records))
	}
}

// encode returns the datagrams of a message. Records are split over as many as needed; a record that does not fit into one is split into records with a
// part of its crashes each, to which no answer is wanted.
func (g *PartGuard) encode(m partMessage) [][]byte {
	m.From = g.peers.self.ID
	raw, err := json.Marshal(m)
	if err != nil {
		return nil // the types have no values that cannot be encoded
	}
	if size := len(raw) + len(partPrefix) + 1; size <= maxPartDatagram {
		return [][]byte{append(append(bytes.Clone(partPrefix), raw...), '}')}
	}
	first, second := m, m
	second.Asks, second.Saved = false, nil
	first.Last = false
	switch half := len(m.Records) / 2; {
	case half > 0:
		first.Records, second.Records = m.Records[:half], m.Records[half:]
	case len(m.Records) == 1 && len(m.Records[0].Crashes) > 1:
		r := m.Records[0]
		half = len(r.Crashes) / 2
		a, b := r, r
		a.Crashes, b.Crashes = r.Crashes[:half], r.Crashes[half:]
		first.Records, second.Records = []poison.Record{a}, []poison.Record{b}
		first.Answers, second.Answers = true, true
	default:
		return nil // the bounds of a record keep it below the size
	}
	return append(g.encode(first), g.encode(second)...)
}

// send sends datagrams, which hold a number of records. Lost ones are made up for by sendRecords.
func (g *PartGuard) send(to netip.AddrPort, datagrams [][]byte, records int) {
	g.sent.Inc(int64(records))
	for _, d := range datagrams {
		_, _ = g.peers.conn.WriteTo(d, net.UDPAddrFromAddrPort(to))
	}
}

// receive handles a datagram if it is about parts, and reports whether it is. Messages from unknown instances are ignored.
func (g *PartGuard) receive(raw []byte) bool {
	if !bytes.HasPrefix(raw, partPrefix) {
		return false
	}
	var outer struct {
		Message partMessage `json:"h"`
	}
	if err := json.Unmarshal(raw, &outer); err != nil {
		g.malformed.Inc(1)
		return true
	}
	m := &outer.Message
	address, known := g.peers.peerAddress(m.From)
	if !known {
		return true
	}
	g.received.Inc(int64(len(m.Records)))
	now := time.Now()
	g.mu.Lock()
	g.noteSaved(m.Saved)
	answers := g.merge(m, now)
	if m.Asks {
		answers = append(answers, g.tracker.Records(answerRecords, now)...)
	}
	if peer := g.asked[m.From]; m.Last && peer != nil {
		peer.answered = true
	}
	g.mu.Unlock()
	if m.Asks || len(answers) > 0 && !m.Answers {
		g.send(address, g.encode(partMessage{Answers: true, Last: m.Asks, Records: answers}), len(answers))
	}
	return true
}

// merge applies the records of a peer and returns those that it lacks; g.mu is held.
func (g *PartGuard) merge(m *partMessage, now time.Time) (answers []poison.Record) {
	if len(m.Records) == 0 {
		return nil
	}
	changed, answers := g.tracker.Merge(m.Records, now)
	if len(changed) == 0 {
		return answers
	}
	for _, r := range changed {
		if r.IsCleared() && m.Answers {
			// This instance told all peers of the suspicion.
			g.news[r.Part] = r
			wait.Wake(g.changed)
		}
		if r.IsCleared() {
			delete(g.again, r.Part)
		}
	}
	g.noteStates(now)
	return answers
}

// allAddresses returns the addresses of all known peers.
func (p *Peers) allAddresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(p.peers))
	for _, s := range p.peers {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// inTouch returns the incarnations of the peers that are not suspected.
func (p *Peers) inTouch(now time.Time) map[fleet.InstanceID]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := make(map[fleet.InstanceID]uint64, len(p.peers))
	for id, s := range p.peers {
		if !s.isSuspected(now) {
			found[id] = s.member.Incarnation
		}
	}
	return found
}
