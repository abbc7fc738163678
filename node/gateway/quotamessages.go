package gateway

import (
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/quota"
)

// quotaMessage is the content of a datagram about quotas, which instances exchange on the socket of Peers. Its only field at the top level is "q".
// Instances of earlier builds skip that field, and ignore the datagram as one of an unknown sender.
type quotaMessage struct {
	From string `json:"f"`
	// Process is the incarnation of the process that reports, and Sequence increases with each of its datagrams. A reply repeats both.
	Process  uint64         `json:"p"`
	Sequence uint64         `json:"n"`
	Reports  []quota.Report `json:"r,omitempty"`
	Replies  []quota.Reply  `json:"e,omitempty"`
}

// quotaPrefix is the beginning of each datagram about quotas, which tells them apart without decoding.
var quotaPrefix = []byte(`{"q":`)

// maxQuotaDatagram is the size in bytes at which a datagram about quotas is split, so that it fits into one packet of the usual networks.
const maxQuotaDatagram = 1400

// quotaDatagram is an encoded datagram and its receiver.
type quotaDatagram struct {
	to      string
	content []byte
}

// encodeReports returns the datagrams with a batch of reports. Each has a sequence number of its own; q.mu is held.
func (q *Quotas) encodeReports(batch quota.Batch) []quotaDatagram {
	return splitQuota(batch.To, batch.Reports, func(part []quota.Report) quotaMessage {
		q.sequence++
		return quotaMessage{From: string(q.peers.self.ID), Process: q.peers.self.Incarnation, Sequence: q.sequence, Reports: part}
	})
}

// splitQuota encodes entries in as few datagrams as fit into maxQuotaDatagram, or one entry each.
func splitQuota[T any](to string, entries []T, message func(part []T) quotaMessage) []quotaDatagram {
	if len(entries) == 0 {
		return nil
	}
	raw, err := json.Marshal(message(entries))
	if err != nil {
		return nil // values that cannot be encoded were clamped before
	}
	if len(raw)+len(quotaPrefix)+1 > maxQuotaDatagram && len(entries) > 1 {
		half := len(entries) / 2
		return append(splitQuota(to, entries[:half], message), splitQuota(to, entries[half:], message)...)
	}
	content := append(append(bytes.Clone(quotaPrefix), raw...), '}')
	return []quotaDatagram{{to, content}}
}

// send sends datagrams to the present addresses of their receivers. Lost ones are replaced by later reports.
func (q *Quotas) send(datagrams []quotaDatagram) {
	for _, d := range datagrams {
		address, known := q.peers.peerAddress(fleet.InstanceID(d.to))
		if !known {
			q.unsent.Inc(1)
			continue
		}
		q.sent.Inc(1)
		_, _ = q.peers.conn.WriteTo(d.content, net.UDPAddrFromAddrPort(address))
	}
}

// peerAddress returns the address of a known peer.
func (p *Peers) peerAddress(id fleet.InstanceID) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.peers[id]
	if !ok {
		return netip.AddrPort{}, false
	}
	return state.address, true
}

// receive handles a datagram if it is about quotas, and reports whether it is. Messages from unknown instances are ignored.
func (q *Quotas) receive(raw []byte) bool {
	if !bytes.HasPrefix(raw, quotaPrefix) {
		return false
	}
	var outer struct {
		Message quotaMessage `json:"q"`
	}
	if err := json.Unmarshal(raw, &outer); err != nil {
		q.malformed.Inc(1)
		return true
	}
	m := &outer.Message
	if _, known := q.peers.peerAddress(fleet.InstanceID(m.From)); !known {
		return true
	}
	q.received.Inc(1)
	now := time.Now()
	var replies []quota.Reply
	q.mu.Lock()
	for _, r := range m.Reports {
		if reply, ok := q.applyReport(m.From, m.Process, m.Sequence, r, now); ok {
			replies = append(replies, reply)
		}
	}
	if m.Process == q.peers.self.Incarnation {
		for _, r := range m.Replies {
			q.applyReply(m.From, m.Sequence, r, now)
		}
	}
	q.mu.Unlock()
	q.passSpent()
	q.send(splitQuota(m.From, replies, func(part []quota.Reply) quotaMessage {
		return quotaMessage{From: string(q.peers.self.ID), Process: m.Process, Sequence: m.Sequence, Replies: part}
	}))
	return true
}
