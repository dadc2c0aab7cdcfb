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
	defaultInterval       = 300 * time.Millisecond
	defaultSuspectAfter   = 900 * time.Millisecond
	defaultRemoveAfter    = 3 * time.Second
	defaultDigestInterval = 2 * time.Second
	defaultListInterval   = 5 * time.Second
)

// Option configures a new Members.
type Option func(*Members)

// Ownership is what a heartbeat states about the owner of the sender's failure domain.
type Ownership struct {
	Term fleet.Term
	// IsOwner is set when the sender is the owner in Term.
	IsOwner bool
	// LastHeard is when the sender last heard from the owner; zero means never.
	LastHeard time.Time
}

// WithSelf sets the name, failure domain and address of the local host.
func WithSelf(name, domain string, addr netip.AddrPort) Option {
	return func(m *Members) {
		m.self.Name = name
		m.self.Domain = domain
		m.self.Addr = addr
	}
}

// WithIncarnation sets the number that distinguishes a restarted host from its earlier process; it must increase with
// every start. The default is the time of the start in milliseconds.
func WithIncarnation(n uint64) Option {
	return func(m *Members) { m.self.Incarnation = n }
}

// WithPeers sets the client for calls to other hosts.
func WithPeers(p port.Peers) Option {
	return func(m *Members) { m.peersPort = p }
}

// WithHosts sets the client for the platform's host list.
func WithHosts(h port.Hosts) Option {
	return func(m *Members) { m.hosts = h }
}

// WithSeeds sets addresses that are contacted in addition to those of the platform's list.
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

// WithRing sets the event ring that records changes of membership.
func WithRing(r *events.Ring) Option {
	return func(m *Members) { m.ring = r }
}

// WithScope sets the metrics scope.
func WithScope(t tally.Scope) Option {
	return func(m *Members) { m.scope = t }
}

// WithIntervals sets the heartbeat interval and the timeouts after which an unresponsive host is suspected and removed.
func WithIntervals(heartbeat, suspect, remove time.Duration) Option {
	return func(m *Members) {
		m.interval = heartbeat
		m.suspectAfter = suspect
		m.removeAfter = remove
	}
}

// WithDigestInterval sets the interval of digests to the same failure domain.
func WithDigestInterval(d time.Duration) Option {
	return func(m *Members) { m.digestInterval = d }
}

// WithListInterval sets the interval at which the platform's list is read.
func WithListInterval(d time.Duration) Option {
	return func(m *Members) { m.listInterval = d }
}

// WithOwnership sets the source of the ownership that heartbeats and digests state.
func WithOwnership(f func() Ownership) Option {
	return func(m *Members) { m.ownership = f }
}

// WithOnHeartbeat sets a callback for each heartbeat or reply received from a host of the local failure domain.
func WithOnHeartbeat(f func(Member)) Option {
	return func(m *Members) { m.onHeartbeat = f }
}

// WithOnHeartbeatAck sets a callback for each heartbeat that was answered; sent is when the heartbeat was sent.
func WithOnHeartbeatAck(f func(sent time.Time, from Member)) Option {
	return func(m *Members) { m.onHeartbeatAck = f }
}

// WithOnWorkerChanged sets a callback that receives, on the owner, the workers that other hosts have reported with NotifyOwner.
func WithOnWorkerChanged(f func(worker string)) Option {
	return func(m *Members) { m.onWorkerChanged = f }
}

// WithConfigOffset sets the source of the log offset that heartbeats and digests state.
func WithConfigOffset(f func() uint64) Option {
	return func(m *Members) { m.configOffset = f }
}

// WithOnNewerOffset sets a callback for hosts that have read further in the log than this one.
func WithOnNewerOffset(f func(from netip.AddrPort, next uint64)) Option {
	return func(m *Members) { m.onNewerOffset = f }
}

// WithOnceComplete sets the function that reports whether this host knows every idempotency claim of its failure domain.
func WithOnceComplete(f func() bool) Option {
	return func(m *Members) { m.onceComplete = f }
}

// WithUsage sets the function that returns, on the owner, the accelerators each organisation uses in the local failure
// domain; it returns nil while they are unknown.
func WithUsage(f func() map[string]int) Option {
	return func(m *Members) { m.usage = f }
}

// WithSummary sets the function that fills in the free capacity and expected waits of the local failure domain.
func WithSummary(f func(*wire.Digest)) Option {
	return func(m *Members) { m.summary = f }
}
