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
	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/lease"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/coordination/notice"
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

// Deps holds the external dependencies of a daemon. Support for another kind of worker or platform replaces one field.
type Deps struct {
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
	deps     Deps
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
	ledger  *dedup.Ledger
	replica *mirror.Replica
	sched   *sched.Scheduler
	router  *route.Router

	drain            *drainState
	componentsClosed chan struct{}
	// firstLogOffset is the oldest offset that the log still held when this host began to read it.
	firstLogOffset atomic.Uint64
	// loadedSnapshot is set when a peer's snapshot replaced reading a part of the log.
	loadedSnapshot atomic.Bool
	// claimsRequested is set once the claims were requested from the peers. Only the goroutine of join uses it.
	claimsRequested bool
}

// Option sets one property of a Daemon.
type Option func(*Daemon)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option {
	return func(d *Daemon) { d.clock = c }
}

// WithLog sets the logger for changes of state; the default discards them.
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

// New builds a daemon. Run starts it.
func New(s *setup.Settings, deps Deps, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:         s,
		deps:             deps,
		clock:            clock.System(),
		log:              slog.New(slog.DiscardHandler),
		scope:            tally.NoopScope,
		drain:            newDrainState(),
		componentsClosed: make(chan struct{}),
	}
	d.firstLogOffset.Store(1)
	for _, f := range opts {
		f(d)
	}
	if err := d.buildComponents(); err != nil {
		return nil, fmt.Errorf("build %s: %w", s.Host.Name, err)
	}
	return d, nil
}
