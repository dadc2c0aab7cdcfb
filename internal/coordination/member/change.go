package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// maxChanged bounds the workers that one answer names.
	maxChanged = 64
	// maxChanges bounds the workers that wait to be told; the owner's domain has no more.
	maxChanges = 4096
)

// changes holds the workers that the owner has still to hear of, each with the sequence of its newest change.
type changes struct {
	sequence uint64
	workers  map[string]uint64
}

func (c *changes) add(worker string) {
	if c.workers == nil {
		c.workers = make(map[string]uint64)
	}
	if _, ok := c.workers[worker]; !ok && len(c.workers) >= maxChanges {
		return
	}
	c.sequence++
	c.workers[worker] = c.sequence
}

// ack forgets the changes up to a sequence.
func (c *changes) ack(sequence uint64) {
	for w, s := range c.workers {
		if s <= sequence {
			delete(c.workers, w)
		}
	}
}

// first returns up to limit workers with the oldest changes, and the sequence that acknowledges them.
func (c *changes) first(limit int) ([]string, uint64) {
	if len(c.workers) == 0 {
		return nil, 0
	}
	ws := make([]string, 0, len(c.workers))
	for w := range c.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(a, b string) int { return cmp.Compare(c.workers[a], c.workers[b]) })
	ws = ws[:min(limit, len(ws))]
	return ws, c.workers[ws[len(ws)-1]]
}

// TellOwner lets the owner know, with the next heartbeats, that it should ask a worker for a report.
func (m *Members) TellOwner(worker string) {
	if m.ownership().IsOwner {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes.add(worker)
}

// giveChanges answers the owner of the highest term known with the workers that it has to ask.
func (m *Members) giveChanges(h *wire.Heartbeat, r *wire.HeartbeatReply, o, known Ownership) {
	if !o.IsOwner || o.Term.Less(known.Term) {
		return
	}
	m.changes.ack(h.GetChangedAck())
	r.Changed, r.ChangedSequence = m.changes.first(maxChanged)
	if m.dropsUnacked {
		m.changes.ack(r.ChangedSequence)
	}
}

func (m *Members) takeChanges(a netip.AddrPort, r *wire.HeartbeatReply) {
	m.mu.Lock()
	if p := m.peerAt(a); p != nil && r.GetChangedSequence() > 0 {
		p.changedSeen = r.GetChangedSequence()
	}
	m.mu.Unlock()
	for _, w := range r.GetChanged() {
		m.onChanged(w)
	}
}
