package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// maxChangesPerReply limits the workers in one reply.
	maxChangesPerReply = 64
	// maxPendingChanges limits the workers that wait for delivery; a failure domain has no more workers than that.
	maxPendingChanges = 4096
)

// changeSet holds the workers whose changes the owner has not acknowledged, each with the sequence of its newest change.
type changeSet struct {
	sequence uint64
	workers  map[string]uint64
}

func (c *changeSet) add(worker string) {
	if c.workers == nil {
		c.workers = make(map[string]uint64)
	}
	if _, ok := c.workers[worker]; !ok && len(c.workers) >= maxPendingChanges {
		return
	}
	c.sequence++
	c.workers[worker] = c.sequence
}

// ack removes the changes up to a sequence.
func (c *changeSet) ack(sequence uint64) {
	for w, s := range c.workers {
		if s <= sequence {
			delete(c.workers, w)
		}
	}
}

// first returns up to limit workers, oldest changes first, and the sequence that acknowledges them.
func (c *changeSet) first(limit int) ([]string, uint64) {
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

// NotifyOwner tells the owner, in replies to its next heartbeats, to request a report from a worker.
func (m *Members) NotifyOwner(worker string) {
	if m.ownership().IsOwner {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes.add(worker)
}

// fillChanges adds the workers to ask for a report to the reply to an owner, unless a higher term than the owner's is known.
// The caller holds m.mu.
func (m *Members) fillChanges(h *wire.Heartbeat, r *wire.HeartbeatReply, o, known Ownership) {
	if !o.IsOwner || o.Term.Less(known.Term) {
		return
	}
	m.changes.ack(h.GetChangedAck())
	r.Changed, r.ChangedSequence = m.changes.first(maxChangesPerReply)
	if m.dropsUnacked {
		m.changes.ack(r.ChangedSequence)
	}
}

func (m *Members) recordChanges(a netip.AddrPort, r *wire.HeartbeatReply) {
	m.mu.Lock()
	if p := m.peerAt(a); p != nil && r.GetChangedSequence() > 0 {
		p.changesAck = r.GetChangedSequence()
	}
	m.mu.Unlock()
	for _, w := range r.GetChanged() {
		m.onWorkerChanged(w)
	}
}
