package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// usageEvery is the time between two full lists of usage for one receiver.
	usageEvery = 30 * time.Second
	// usageShare is the part of an organisation's usage that may change before another failure domain is told: one of so
	// many. Within a failure domain every change is told, so that the parts do not add up.
	usageShare = 10
	// maxUsageChanges bounds the organisations that one message tells of between two full lists.
	maxUsageChanges = 4
	// usageKept is how long the usage of a failure domain that is not heard of counts.
	usageKept = 5 * time.Minute
	// elsewhereEvery is how often usage is summed up again although none has come.
	elsewhereEvery = time.Second
)

// told is the usage of one failure domain that one receiver was sent last.
type told struct {
	full time.Time
	used map[string]int
	// isCoarse leaves changes out that are no larger than a share.
	isCoarse bool
}

// usageSum is the usage of all other failure domains together.
type usageSum struct {
	at      time.Time
	isStale bool
	used    map[string]int
}

// pick returns what the receiver should be told now, or nil.
func (t *told) pick(now time.Time, used map[string]int) *wire.Usage {
	if used == nil {
		return nil
	}
	if t.full.IsZero() || now.Sub(t.full) >= usageEvery {
		t.full = now
		t.used = maps.Clone(used)
		return wireUsage(slices.Sorted(maps.Keys(used)), used, true)
	}
	orgs := t.changes(used)
	if len(orgs) == 0 {
		return nil
	}
	for _, o := range orgs {
		t.used[o] = used[o]
	}
	return wireUsage(orgs, used, false)
}

// changes returns the organisations whose changes have to be told, the largest changes first.
func (t *told) changes(used map[string]int) []string {
	var orgs []string
	change := func(o string) int { return max(used[o]-t.used[o], t.used[o]-used[o]) }
	for o := range used {
		if c := change(o); c > 0 && (!t.isCoarse || c*usageShare > t.used[o]) {
			orgs = append(orgs, o)
		}
	}
	for o, n := range t.used {
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

// applyUsage returns used with u applied; a change of a list that was never heard changes nothing.
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

// ownUsage returns the usage of the own failure domain as this host knows it, or nil.
func (m *Members) ownUsage(o Ownership) map[string]int {
	if o.IsOwner {
		if used := m.usage(); used != nil {
			return used
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned
}

// giveUsage returns what the owner has to tell a peer; the caller holds the lock.
func (m *Members) giveUsage(p *peer, o Ownership, used map[string]int) *wire.Usage {
	if p == nil || !o.IsOwner {
		return nil
	}
	return p.told.pick(m.clock.Now(), used)
}

// takeUsage takes what the owner tells of the own failure domain.
func (m *Members) takeUsage(o Ownership, u *wire.Usage) {
	if !o.IsOwner || u == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owned = applyUsage(m.owned, u)
}

// Elsewhere returns the accelerators that each organisation uses in the other failure domains; nobody may change it.
func (m *Members) Elsewhere() map[string]int {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.elsewhere
	if s.used != nil && !s.isStale && now.Sub(s.at) < elsewhereEvery {
		return s.used
	}
	sum := map[string]int{}
	for _, v := range m.views {
		if now.Sub(v.Heard) >= usageKept {
			continue
		}
		for o, n := range v.used {
			sum[o] += n
		}
	}
	*s = usageSum{at: now, used: sum}
	return sum
}
