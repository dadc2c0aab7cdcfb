package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// fullUsageInterval is the time between two full lists of usage for one receiver. A full list also repairs lost changes.
	fullUsageInterval = 30 * time.Second
	// usageChangeDivisor sets the threshold for updates to a remote failure domain: a change of usage is sent when it exceeds
	// the usage last sent divided by usageChangeDivisor. Within a failure domain every change is sent, so that the
	// differences of several hops do not add up.
	usageChangeDivisor = 10
	// maxUsageChanges limits the organisations in one message between two full lists.
	maxUsageChanges = 4
	// usageTTL is how long the usage of a failure domain counts after its last digest.
	usageTTL = 5 * time.Minute
	// remoteUsageInterval is how often the sum of remote usage is computed again when no new usage has arrived.
	remoteUsageInterval = time.Second
)

// sentUsage is the usage of one failure domain as last sent to one receiver.
type sentUsage struct {
	fullAt time.Time
	used   map[string]int
	// isCoarse omits changes below the threshold of usageChangeDivisor.
	isCoarse bool
}

// usageSum is the total usage of all remote failure domains.
type usageSum struct {
	at      time.Time
	isStale bool
	used    map[string]int
}

// next returns the usage to send to the receiver now, or nil if there is none.
func (s *sentUsage) next(now time.Time, used map[string]int) *wire.Usage {
	if used == nil {
		return nil
	}
	if s.fullAt.IsZero() || now.Sub(s.fullAt) >= fullUsageInterval {
		s.fullAt = now
		s.used = maps.Clone(used)
		return wireUsage(slices.Sorted(maps.Keys(used)), used, true)
	}
	orgs := s.changed(used)
	if len(orgs) == 0 {
		return nil
	}
	for _, o := range orgs {
		s.used[o] = used[o]
	}
	return wireUsage(orgs, used, false)
}

// changed returns the organisations whose changes have to be sent, largest change first.
func (s *sentUsage) changed(used map[string]int) []string {
	var orgs []string
	change := func(o string) int { return max(used[o]-s.used[o], s.used[o]-used[o]) }
	for o := range used {
		if c := change(o); c > 0 && (!s.isCoarse || c*usageChangeDivisor > s.used[o]) {
			orgs = append(orgs, o)
		}
	}
	for o, n := range s.used {
		if _, ok := used[o]; !ok && n > 0 {
			orgs = append(orgs, o)
		}
	}
	slices.SortFunc(orgs, func(a, b string) int {
		return cmp.Or(cmp.Compare(change(b), change(a)), cmp.Compare(a, b))
	})
	return orgs[:min(len(orgs), maxUsageChanges)]
}

func wireUsage(orgs []string, used map[string]int, isFull bool) *wire.Usage {
	u := &wire.Usage{Full: isFull}
	for _, o := range orgs {
		u.Organisations = append(u.Organisations, o)
		u.Accelerators = append(u.Accelerators, int32(used[o]))
	}
	return u
}

// applyUsage returns used with u applied; it ignores an invalid u, and a change when no full list has been received.
func applyUsage(used map[string]int, u *wire.Usage) map[string]int {
	isBroken := len(u.GetOrganisations()) != len(u.GetAccelerators())
	if u == nil || isBroken || (used == nil && !u.GetFull()) {
		return used
	}
	out := maps.Clone(used)
	if u.GetFull() {
		out = map[string]int{}
	}
	for i, o := range u.GetOrganisations() {
		out[o] = int(u.GetAccelerators()[i])
		if out[o] <= 0 {
			delete(out, o)
		}
	}
	return out
}

// ownUsage returns the usage of the local failure domain as known to this host, or nil.
func (m *Members) ownUsage(o Ownership) map[string]int {
	if o.IsOwner {
		if used := m.usage(); used != nil {
			return used
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.localUsage
}

// usageFor returns the usage that the owner has to send to a peer. The caller holds m.mu.
func (m *Members) usageFor(p *peer, o Ownership, used map[string]int) *wire.Usage {
	if p == nil || !o.IsOwner {
		return nil
	}
	return p.sentUsage.next(m.clock.Now(), used)
}

// recordUsage applies the usage that the owner of the local failure domain has sent.
func (m *Members) recordUsage(o Ownership, u *wire.Usage) {
	if !o.IsOwner || u == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.localUsage = applyUsage(m.localUsage, u)
}

// RemoteUsage returns the accelerators that each organisation uses in the remote failure domains. The caller must not modify
// the map.
func (m *Members) RemoteUsage() map[string]int {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.remoteUsage
	if s.used != nil && !s.isStale && now.Sub(s.at) < remoteUsageInterval {
		return s.used
	}
	sum := map[string]int{}
	for _, v := range m.views {
		if now.Sub(v.LastHeard) >= usageTTL {
			continue
		}
		for o, n := range v.usage {
			sum[o] += n
		}
	}
	*s = usageSum{at: now, used: sum}
	return sum
}
