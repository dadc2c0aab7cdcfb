package member

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// loadTTL is how long a reported load counts after the last report of the owner.
const loadTTL = 10 * time.Second

// Load is the capacity and the expected waits of the local failure domain as last reported by its owner.
type Load struct {
	FreeAccelerators int
	Accelerators     int
	UrgentWait       time.Duration
	NormalWait       time.Duration
	QuietWait        time.Duration
}

// ownerLoad is the load last reported by the owner.
type ownerLoad struct {
	load *wire.Load
	at   time.Time
}

// Load returns the load of the local failure domain, or zero when the owner's last report is too old.
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

// ownLoad returns the load that the owner reports to others, or nil on any other host.
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

// recordLoad records the load that the owner reports.
func (m *Members) recordLoad(o Ownership, l *wire.Load) {
	if !o.IsOwner || l == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownerLoad = ownerLoad{load: l, at: m.clock.Now()}
}

// currentLoad returns the load computed by this host if it is the owner, and otherwise the last one reported by the owner.
func (m *Members) currentLoad(o Ownership) *wire.Load {
	if l := m.ownLoad(o); l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock.Since(m.ownerLoad.at) > loadTTL {
		return nil
	}
	return m.ownerLoad.load
}

// fillLoad copies the load into a digest.
func (m *Members) fillLoad(d *wire.Digest, o Ownership) {
	l := m.currentLoad(o)
	d.FreeAccelerators = l.GetFreeAccelerators()
	d.Accelerators = l.GetAccelerators()
	d.UrgentWaitMillis = l.GetUrgentWaitMillis()
	d.NormalWaitMillis = l.GetNormalWaitMillis()
	d.QuietWaitMillis = l.GetQuietWaitMillis()
}
