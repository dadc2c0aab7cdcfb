package elect

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// renewInterval is the time between two renewals of the owner.
	renewInterval = 400 * time.Millisecond
	// expiry is how long the others wait for a renewal before they claim.
	expiry = 1500 * time.Millisecond
	// readWait is how long a read for renewals is held back.
	readWait = 500 * time.Millisecond
	// ampleShare is the share of a processor from which a host claims at once, and maxPatience what one with none waits.
	ampleShare  = 0.35
	maxPatience = 1500 * time.Millisecond
	// retryPause is the time between two calls that fail.
	retryPause = 100 * time.Millisecond
	// standbyPause is the time between two reads of a host that leaves a vacant ownership to others.
	standbyPause = 500 * time.Millisecond
)

var topic = port.Topic{Name: "owner"}

// Owner is who owns the jobs, as far as a host has read.
type Owner struct {
	Host     string
	Lifetime string
	Addr     netip.AddrPort
	Term     int64
}

// Elect follows and takes part in the election of the owner.
type Elect struct {
	store port.Store
	self  Owner
	clock clock.Clock
	log   *slog.Logger

	// patience is how long this host leaves a vacant ownership to others.
	patience time.Duration

	mu        sync.Mutex
	owner     Owner
	next      int64
	heard     time.Time
	released  bool
	renewed   clock.Mark
	reachable bool
	leaving   bool
}

// Option changes how an election is built.
type Option func(*Elect)

// WithShare has a host with a small share of a processor leave the ownership to stronger ones, if they want it.
func WithShare(share float64) Option {
	return func(e *Elect) {
		weakness := max(1-share/ampleShare, 0)
		e.patience = time.Duration(weakness * float64(maxPatience))
	}
}

// New returns the election seen by a host, which takes part under the given name, lifetime and address.
func New(s port.Store, host, lifetime string, addr netip.AddrPort, c clock.Clock, l *slog.Logger, opts ...Option) *Elect {
	e := &Elect{store: s, self: Owner{Host: host, Lifetime: lifetime, Addr: addr}, clock: c, log: l, next: -1}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Owner returns the owner as far as this host has read.
func (e *Elect) Owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// Renewed returns when the newest renewal of this host that the store confirmed was sent.
func (e *Elect) Renewed() clock.Mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.renewed
}

// IsOwner reports whether this lifetime of the host owns the jobs, as far as it has read.
func (e *Elect) IsOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner()
}

func (e *Elect) isOwner() bool {
	return e.owner.Term > 0 && !e.released && e.owner.Host == e.self.Host && e.owner.Lifetime == e.self.Lifetime
}

// Leave gives the ownership up, if this host has it, and keeps the host from claiming it again.
func (e *Elect) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	is, at := e.isOwner(), e.next
	e.mu.Unlock()
	if !is {
		return nil
	}
	return e.append(ctx, at, &wire.LeadRecord{Released: true, Renewal: true})
}

// Run takes part until ctx ends; own is called in a goroutine for each term of this host, with a context that ends
// with the term.
func (e *Elect) Run(ctx context.Context, own func(ctx context.Context, o Owner)) error {
	var stop context.CancelFunc
	var done chan struct{}
	var term int64
	end := func() {
		if stop != nil {
			stop()
			<-done
			stop, done = nil, nil
		}
	}
	defer end()
	for ctx.Err() == nil {
		if isEnded(done) {
			e.resign(ctx, term)
			end()
		}
		if err := e.step(ctx); err != nil {
			_ = e.clock.Sleep(ctx, retryPause)
		}
		e.mu.Lock()
		is, o := e.isOwner(), e.owner
		e.mu.Unlock()
		if stop != nil && (!is || o.Term != term) {
			e.log.Info("ownership lost", "Term", term, "Owner", o.Host, "OwnerTerm", o.Term)
			end()
		}
		if is && stop == nil {
			e.log.Info("ownership gained", "Term", o.Term)
			x, cancel := context.WithCancel(ctx)
			stop, done, term = cancel, make(chan struct{}), o.Term
			go func(done chan struct{}) {
				defer close(done)
				own(x, o)
			}(done)
		}
	}
	return nil
}

// isEnded reports whether the work of a term has ended.
func isEnded(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// resign gives a term up whose work has ended by itself, so that another one begins.
func (e *Elect) resign(ctx context.Context, term int64) {
	e.mu.Lock()
	is, at := e.isOwner() && e.owner.Term == term, e.next
	e.mu.Unlock()
	if !is {
		return
	}
	e.log.Warn("term is given up", "Term", term)
	if err := e.append(ctx, at, &wire.LeadRecord{Released: true, Renewal: true}); err != nil {
		e.log.Warn("term cannot be given up in the store", "Term", term, "Cause", err.Error())
		e.mu.Lock()
		// Without a renewal the others take over, and this host may as well.
		e.released = true
		e.mu.Unlock()
	}
}

// step reads or renews once.
func (e *Elect) step(ctx context.Context) error {
	e.mu.Lock()
	next, is, leaving := e.next, e.isOwner(), e.leaving
	e.mu.Unlock()
	if next < 0 {
		return e.read(ctx, 0, 0)
	}
	if is && !leaving {
		return e.renew(ctx, next)
	}
	if err := e.read(ctx, next, readWait); err != nil {
		e.mu.Lock()
		e.reachable = false
		e.mu.Unlock()
		return err
	}
	if !leaving && e.isVacant() {
		e.mu.Lock()
		next = e.next
		e.mu.Unlock()
		return e.append(ctx, next, &wire.LeadRecord{})
	}
	if e.patience > 0 {
		return e.clock.Sleep(ctx, standbyPause)
	}
	return nil
}

// isVacant reports whether the owner has left, or was silent for so long while the store answered this host.
func (e *Elect) isVacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	silent := e.clock.Since(e.heard) - e.patience
	return e.released && silent >= 0 || silent > expiry
}

func (e *Elect) renew(ctx context.Context, at int64) error {
	sent := e.clock.Mark()
	if err := e.append(ctx, at, &wire.LeadRecord{Renewal: true}); err != nil {
		return err
	}
	e.mu.Lock()
	e.renewed = sent
	e.mu.Unlock()
	return e.clock.Sleep(ctx, renewInterval)
}

// append writes a record where this host believes the topic to end, and reads on when it does not.
func (e *Elect) append(ctx context.Context, at int64, m *wire.LeadRecord) error {
	m.Host, m.Lifetime, m.Addr = e.self.Host, e.self.Lifetime, e.self.Addr.String()
	b, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	_, err = e.store.Append(ctx, port.Append{Topic: topic, Entries: []port.Entry{{Value: b}}, IsConditional: true, At: at})
	if errors.Is(err, port.ErrConflict) {
		return e.read(ctx, at, 0)
	}
	if err != nil {
		return fmt.Errorf("append claim at %d: %w", at, err)
	}
	e.note(at, m)
	return nil
}

// read takes the records from an offset on.
func (e *Elect) read(ctx context.Context, from int64, wait time.Duration) error {
	p, err := e.store.Read(ctx, topic, from, wait)
	if errors.Is(err, port.ErrExpired) {
		p, err = e.store.Read(ctx, topic, p.First, 0)
	}
	if err != nil {
		return fmt.Errorf("read claims from %d: %w", from, err)
	}
	e.mu.Lock()
	if !e.reachable {
		// While the store did not answer, a silent owner proves nothing.
		e.reachable = true
		e.heard = e.clock.Now()
	}
	if e.next < 0 {
		e.next = p.End
		e.released = p.End == 0
	}
	e.mu.Unlock()
	for _, x := range p.Entries {
		var m wire.LeadRecord
		if err := proto.Unmarshal(x.Value, &m); err != nil {
			return fmt.Errorf("decode claim at %d: %w", x.Offset, err)
		}
		e.note(x.Offset, &m)
	}
	return nil
}

// note takes one record; a claim starts the term that its offset names.
func (e *Elect) note(at int64, m *wire.LeadRecord) {
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		e.log.Warn("claim names no address", "Offset", at, "Host", m.GetHost(), "Cause", err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = max(e.next, at+1)
	e.heard = e.clock.Now()
	e.released = m.GetReleased()
	isSame := e.owner.Host == m.GetHost() && e.owner.Lifetime == m.GetLifetime()
	if m.GetRenewal() && isSame {
		return
	}
	e.owner = Owner{Host: m.GetHost(), Lifetime: m.GetLifetime(), Addr: addr, Term: at + 1}
}
