package member

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// loadKept is how long the load of an owner that is not heard of counts.
const loadKept = 10 * time.Second

// Load is what the owner of the own failure domain last said of its capacity and queues.
type Load struct {
	FreeAccelerators int
	Accelerators     int
	UrgentWait       time.Duration
	NormalWait       time.Duration
	QuietWait        time.Duration
}

// heardLoad is the load that the owner stated last.
type heardLoad struct {
	load *wire.Load
	at   time.Time
}

// Load returns the load of the own failure domain, which is zero while its owner is not heard of.
func (m *Members) Load() Load {
	l := m.currentLoad(m.ownership())
	return Load{
		FreeAccelerators: int(l.GetFreeAccelerators()),
		Accelerators:     int(l.GetAccelerators()),
		UrgentWait:       time.Duration(l.GetUrgentWaitMillis()) * time.Millisecond,
		NormalWait:       time.Duration(l.GetNormalWaitMillis()) * time.Millisecond,
		QuietWait:        time.Duration(l.GetQuietWaitMillis()) * time.Millisecond,
	}
}

// ownLoad returns the load to state to others; only the owner knows it.
func (m *Members) ownLoad(o Ownership) *wire.Load {
	if !o.IsOwner {
		return nil
	}
	var d wire.Digest
	m.summary(&d)
	return &wire.Load{
		FreeAccelerators: d.GetFreeAccelerators(),
		Accelerators:     d.GetAccelerators(),
		UrgentWaitMillis: d.GetUrgentWaitMillis(),
		NormalWaitMillis: d.GetNormalWaitMillis(),
		QuietWaitMillis:  d.GetQuietWaitMillis(),
	}
}

// takeLoad remembers what the owner states.
func (m *Members) takeLoad(o Ownership, l *wire.Load) {
	if !o.IsOwner || l == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardLoad = heardLoad{load: l, at: m.clock.Now()}
}

// currentLoad returns the own load on the owner, and what the owner stated elsewhere.
func (m *Members) currentLoad(o Ownership) *wire.Load {
	if l := m.ownLoad(o); l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock.Since(m.heardLoad.at) > loadKept {
		return nil
	}
	return m.heardLoad.load
}

// fillLoad puts the load into a digest.
func (m *Members) fillLoad(d *wire.Digest, o Ownership) {
	l := m.currentLoad(o)
	d.FreeAccelerators = l.GetFreeAccelerators()
	d.Accelerators = l.GetAccelerators()
	d.UrgentWaitMillis = l.GetUrgentWaitMillis()
	d.NormalWaitMillis = l.GetNormalWaitMillis()
	d.QuietWaitMillis = l.GetQuietWaitMillis()
}
