package member

import (
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

const (
	defaultInterval     = 300 * time.Millisecond
	defaultSuspectAfter = 900 * time.Millisecond
	defaultRemoveAfter  = 3 * time.Second
	defaultDigestEvery  = 2 * time.Second
	defaultListEvery    = 5 * time.Second
)

// Option sets one part of new Members.
type Option func(*Members)

// Ownership is what a heartbeat says of the owner of its sender's failure domain.
type Ownership struct {
	Term fleet.Term
	// IsOwner is set when the sender is the owner in Term.
	IsOwner bool
	// Heard is when the sender last heard from the owner; zero means never.
	Heard time.Time
}

// WithSelf names the host, its failure domain and its address.
func WithSelf(name, domain string, addr netip.AddrPort) Option {
	return func(m *Members) {
		m.self.Name = name
		m.self.Domain = domain
		m.self.Addr = addr
	}
}

// WithIncarnation sets the number that tells a restarted host from its earlier process; it must grow.
func WithIncarnation(n uint64) Option {
	return func(m *Members) { m.self.Incarnation = n }
}

// WithPeers sets how peers are called.
func WithPeers(p port.Peers) Option {
	return func(m *Members) { m.peersPort = p }
}

// WithHosts sets how the platform's list is reached.
func WithHosts(h port.Hosts) Option {
	return func(m *Members) { m.hosts = h }
}

// WithSeeds sets addresses that are tried besides those of the platform's list.
func WithSeeds(as ...netip.AddrPort) Option {
	return func(m *Members) { m.seeds = as }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(m *Members) { m.clock = c }
}

// WithStamps sets the hybrid logical clock that heartbeats carry.
func WithStamps(c *events.Clock) Option {
	return func(m *Members) { m.stamps = c }
}

// WithRing sets the time line that hears of changes.
func WithRing(r *events.Ring) Option {
	return func(m *Members) { m.ring = r }
}

// WithScope sets where counters go.
func WithScope(t tally.Scope) Option {
	return func(m *Members) { m.scope = t }
}

// WithIntervals sets the time between heartbeats, and the silence after which a host is suspected and removed.
func WithIntervals(heartbeat, suspect, remove time.Duration) Option {
	return func(m *Members) {
		m.interval = heartbeat
		m.suspectAfter = suspect
		m.removeAfter = remove
	}
}

// WithDigestEvery sets the time between two digests for the same failure domain.
func WithDigestEvery(d time.Duration) Option {
	return func(m *Members) { m.digestEvery = d }
}

// WithListEvery sets the time between two reads of the platform's list.
func WithListEvery(d time.Duration) Option {
	return func(m *Members) { m.listEvery = d }
}

// WithOwnership sets what heartbeats say of the owner.
func WithOwnership(f func() Ownership) Option {
	return func(m *Members) { m.ownership = f }
}

// WithHeard sets a function that hears each sign of life of a host of the own failure domain.
func WithHeard(f func(Member)) Option {
	return func(m *Members) { m.onHeard = f }
}

// WithAck sets a function that hears when a heartbeat that was answered had been sent.
func WithAck(f func(sent time.Time, from Member)) Option {
	return func(m *Members) { m.onAck = f }
}

// WithChanged sets a function that hears, on the owner, of workers that another host has told of with TellOwner.
func WithChanged(f func(worker string)) Option {
	return func(m *Members) { m.onChanged = f }
}

// WithConfigOffset sets which log offset heartbeats and digests state.
func WithConfigOffset(f func() uint64) Option {
	return func(m *Members) { m.configOffset = f }
}

// WithOffset sets a function that hears of hosts that have read more of the log.
func WithOffset(f func(from netip.AddrPort, next uint64)) Option {
	return func(m *Members) { m.onOffset = f }
}

// WithOnceComplete sets whether this host knows every idempotency claim of its failure domain.
func WithOnceComplete(f func() bool) Option {
	return func(m *Members) { m.onceComplete = f }
}

// WithUsage sets the accelerators that each organisation uses in the own failure domain, on its owner; nil if not known.
func WithUsage(f func() map[string]int) Option {
	return func(m *Members) { m.usage = f }
}

// WithSummary sets a function that fills in free capacity and expected waits of the own failure domain.
func WithSummary(f func(*wire.Digest)) Option {
	return func(m *Members) { m.summary = f }
}
