package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/keep"
	"github.com/auburncleat/auburncleat/internal/coordination/lease"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/coordination/owner"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/coordination/sched"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
	"github.com/uber-go/tally/v4"
)

// Outside holds the ways out of the process; another shape of worker or platform replaces one field.
type Outside struct {
	Workers port.Workers
	Log     port.Log
	Hosts   port.Hosts
	// Dial connects to a peer.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)
	// Listen opens one of the host's addresses.
	Listen func(netip.AddrPort) (net.Listener, error)
}

// Daemon is one entry host.
type Daemon struct {
	settings *setup.Settings
	outside  Outside
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	metrics  http.Handler

	stamps  *events.Clock
	ring    *events.Ring
	pool    *peer.Pool
	stream  *stream.Stream
	members *member.Members
	owner   *owner.Owner
	leases  *lease.Leases
	policy  *policy.Policy
	config  *config.State
	notices *notice.Notices
	gangs   *gang.Gangs
	book    *once.Ledger
	keeper  *keep.Replica
	sched   *sched.Scheduler
	router  *route.Router

	drain  *drain
	closed chan struct{}
	// logFirst is the oldest record that the log still held when it was read from there on.
	logFirst atomic.Uint64
	// skippedLog is set when a peer's snapshot took the place of a part of the log.
	skippedLog atomic.Bool
	// hasClaims is set once the claims were asked of the peers; only join touches it.
	hasClaims bool
}

// Option sets one property of a Daemon.
type Option func(*Daemon)

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(d *Daemon) { d.clock = c }
}

// WithLog sets where changes of state are logged.
func WithLog(l *slog.Logger) Option {
	return func(d *Daemon) { d.log = l }
}

// WithMetrics sets the root scope and the handler that serves it.
func WithMetrics(s tally.Scope, h http.Handler) Option {
	return func(d *Daemon) {
		d.scope = s
		d.metrics = h
	}
}

// New puts a daemon together; nothing runs before Run.
func New(s *setup.Settings, o Outside, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		outside:  o,
		clock:    clock.System(),
		log:      slog.New(slog.DiscardHandler),
		scope:    tally.NoopScope,
		drain:    newDrain(),
		closed:   make(chan struct{}),
	}
	d.logFirst.Store(1)
	for _, f := range opts {
		f(d)
	}
	if err := d.build(); err != nil {
		return nil, fmt.Errorf("build %s: %w", s.Host.Name, err)
	}
	return d, nil
}
