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
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

const (
	// renewInterval is the time between two renewals by the owner.
	renewInterval = 400 * time.Millisecond
	// ownerTimeout is how long other hosts wait for a renewal before they claim.
	ownerTimeout = 1500 * time.Millisecond
	// readWait is how long the store may delay the answer to a read until a record arrives.
	readWait = 700 * time.Millisecond
	// shortReadWait replaces readWait while renewals are missing.
	shortReadWait = 100 * time.Millisecond
	// A host with at least immediateClaimShare of a processor claims a vacant ownership at once. The delay grows linearly
	// to maxClaimDelay as the share falls to zero.
	immediateClaimShare = 0.35
	maxClaimDelay       = 1500 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = 100 * time.Millisecond
	// standbyInterval is the pause between reads of a host that delays its claims.
	standbyInterval = 500 * time.Millisecond
	// ignoredLogInterval is the minimum time between two log lines about records of another writer.
	ignoredLogInterval = 10 * time.Second
)

var topic = port.Topic{Name: "owner"}

// Owner identifies the owner of the jobs in one term.
type Owner struct {
	Host     string
	Lifetime string
	Addr     netip.AddrPort
	Term     int64
}

// Election takes part in the election of the owner.
type Election struct {
	store port.Store
	self  Owner
	clock clock.Clock
	log   *slog.Logger
	// ignored counts the records that no host wrote, and ignoredLines limits the log lines about them.
	ignored      tally.Counter
	ignoredLines *clock.Limiter

	// maxLease bounds the leases that this host grants to workers while it is the owner; zero if nothing does.
	maxLease time.Duration
	// claimDelay is how long this host leaves a vacant ownership to other hosts.
	claimDelay time.Duration

	mu    sync.Mutex
	owner Owner
	// isTermUnknown is set while only renewals of the owner were read, as its claim had expired; Term is then too high.
	isTermUnknown bool
	nextOffset    int64
	// newestRecord is the offset of the newest record of a host that was read or stored.
	newestRecord int64
	lastHeard    time.Time
	isReleased   bool
	lastRenewal  clock.Instant
	// renewedAt is the offset of the newest renewal that this host sent, and renewalSent when it was first sent.
	renewedAt   int64
	renewalSent clock.Instant
	// lastRecord is when the newest record was read, at the latest, and formerHeardAt the same for the newest record before the
	// current term.
	lastRecord    time.Time
	formerHeardAt time.Time
	// longLeaseAt is when a record was last read of an owner that may grant longer leases than maxLease.
	longLeaseAt time.Time
	isReachable bool
	isLeaving   bool
	// isRenewalFailing is set once a renewal of this host was refused or timed out, until one is confirmed.
	isRenewalFailing bool
	// probe asks the owner for the state of its term; nil if owners are judged by their renewals alone.
	probe func(ctx context.Context, o Owner) (TermState, error)
}

// Option configures an election.
type Option func(*Election)

// WithProcessorShare sets the host's share of a processor; a host with a small share delays its claims, so that better
// equipped hosts can claim first.
func WithProcessorShare(share float64) Option {
	return func(e *Election) {
		weakness := max(1-share/immediateClaimShare, 0)
		e.claimDelay = time.Duration(weakness * float64(maxClaimDelay))
	}
}

// WithMaxLease sets the bound of the leases that this host grants to workers while it is the owner.
func WithMaxLease(d time.Duration) Option { return func(e *Election) { e.maxLease = d } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(e *Election) { e.ignored = s.Counter("claims_ignored") }
}

// New returns an election in which a host takes part under the given name, lifetime and address.
func New(s port.Store, host, lifetime string, addr netip.AddrPort, c clock.Clock, l *slog.Logger, opts ...Option) *Election {
	e := &Election{
		store: s, self: Owner{Host: host, Lifetime: lifetime, Addr: addr}, clock: c, log: l, nextOffset: -1, newestRecord: -1,
		ignoredLines: clock.NewLimiter(c, ignoredLogInterval),
	}
	WithScope(tally.NoopScope)(e)
	for _, o := range opts {
		o(e)
	}
	return e
}

// Owner returns the owner according to the newest record that this host has read.
func (e *Election) Owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// LastRenewal returns when this host sent its newest renewal that the store confirmed.
func (e *Election) LastRenewal() clock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRenewal
}

// LongLeaseAt returns when this host last heard of an owner that may grant longer leases than this host would; zero if never.
func (e *Election) LongLeaseAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.longLeaseAt
}

// FormerHeardAt returns when this host last heard of a former owner before the current term, or zero if there was none; no renewal of a
// former owner was sent later and confirmed.
func (e *Election) FormerHeardAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.formerHeardAt
}

// NewestToken returns a fencing token that is at least the term of this host, rises with each confirmed renewal, and is below all later
// terms; it is zero if this host is not the owner.
func (e *Election) NewestToken() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isOwner() {
		return 0
	}
	// All records before this offset were read, so that the claim of the next owner has this offset or a higher one.
	return e.nextOffset
}

// IsOwner reports whether this lifetime of the host owns the jobs, according to the newest record that it has read.
func (e *Election) IsOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner()
}

func (e *Election) isOwner() bool {
	return e.owner.Term > 0 && !e.isReleased && e.owner.Host == e.self.Host && e.owner.Lifetime == e.self.Lifetime
}

// Leave releases the ownership if this host has it, and keeps the host from claiming it again.
func (e *Election) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.isLeaving = true
	isOwner, offset := e.isOwner(), e.nextOffset
	e.mu.Unlock()
	if !isOwner {
		return nil
	}
	return e.release(ctx, offset)
}

// release writes that the term has ended at an offset, or after records of another writer from there on.
func (e *Election) release(ctx context.Context, offset int64) error {
	for {
		isStored, err := e.append(ctx, offset, &wire.LeadRecord{Released: true, Renewal: true})
		if err != nil || isStored || !e.isOvertaken(offset) {
			return err
		}
		e.mu.Lock()
		offset = e.nextOffset
		e.mu.Unlock()
	}
}

// Run takes part in the election until ctx ends. It calls own in a goroutine for each term of this host, with a context
// that ends with the term.
func (e *Election) Run(ctx context.Context, own func(ctx context.Context, o Owner)) error {
	var stop context.CancelFunc
	var done chan struct{}
	var term int64
	endTerm := func() {
		if stop != nil {
			stop()
			<-done
			stop, done = nil, nil
		}
	}
	defer endTerm()
	for ctx.Err() == nil {
		if isClosed(done) {
			e.resign(ctx, term)
			endTerm()
		}
		if err := e.step(ctx); err != nil {
			_ = e.clock.Sleep(ctx, retryInterval)
		}
		e.mu.Lock()
		isOwner, o := e.isOwner(), e.owner
		e.mu.Unlock()
		if stop != nil && (!isOwner || o.Term != term) {
			e.log.Info("ownership lost", "Term", term, "Owner", o.Host, "OwnerTerm", o.Term)
			endTerm()
		}
		if isOwner && stop == nil {
			e.log.Info("ownership gained", "Term", o.Term)
			termCtx, cancel := context.WithCancel(ctx)
			stop, done, term = cancel, make(chan struct{}), o.Term
			go func(done chan struct{}) {
				defer close(done)
				own(termCtx, o)
			}(done)
		}
	}
	return nil
}

// isClosed reports whether done is closed; a nil channel is not.
func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// resign releases a term whose work has ended by itself, so that a new term can begin.
func (e *Election) resign(ctx context.Context, term int64) {
	e.mu.Lock()
	isOwner, offset := e.isOwner() && e.owner.Term == term, e.nextOffset
	e.mu.Unlock()
	if !isOwner {
		return
	}
	e.log.Warn("ending ownership term", "Term", term)
	if err := e.release(ctx, offset); err != nil {
		e.log.Warn("cannot release the term in the store", "Term", term, "Cause", err.Error())
		e.mu.Lock()
		// This host renews no more, so that another host takes over or this one claims again.
		e.isReleased = true
		e.mu.Unlock()
	}
}

// step renews once when this host is the owner; otherwise it reads once, and claims a vacant ownership.
func (e *Election) step(ctx context.Context) error {
	e.mu.Lock()
	nextOffset, isOwner, isLeaving := e.nextOffset, e.isOwner(), e.isLeaving
	e.mu.Unlock()
	if nextOffset < 0 {
		return e.readFirst(ctx)
	}
	if isOwner && !isLeaving {
		return e.renew(ctx, nextOffset)
	}
	if err := e.read(ctx, nextOffset, e.nextReadWait()); err != nil {
		e.mu.Lock()
		e.isReachable = false
		e.mu.Unlock()
		return err
	}
	if !isLeaving && (e.isVacant() || e.hasOwnerGone(ctx)) {
		return e.claim(ctx)
	}
	if e.claimDelay > 0 {
		return e.clock.Sleep(ctx, standbyInterval)
	}
	return nil
}

// claim tries to start a term of this host.
func (e *Election) claim(ctx context.Context) error {
	e.mu.Lock()
	nextOffset, former, silent := e.nextOffset, e.owner.Host, e.clock.Since(e.lastHeard)
	e.mu.Unlock()
	e.log.Info("claiming ownership", "Former", former, "Silent", silent.Round(time.Millisecond).String())
	sent := e.clock.Instant()
	isStored, err := e.append(ctx, nextOffset, &wire.LeadRecord{})
	if isStored {
		e.mu.Lock()
		e.lastRenewal = sent
		e.mu.Unlock()
	}
	return err
}

// nextReadWait returns how long the store may delay the answer to the next read.
func (e *Election) nextReadWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock.Since(e.lastHeard) >= probeAfter {
		return shortReadWait
	}
	return readWait
}

// isVacant reports whether this host may claim: the owner has released the ownership, or it has not renewed for
// ownerTimeout while the store answered this host, and claimDelay has passed on top.
func (e *Election) isVacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sinceHeard := e.clock.Since(e.lastHeard) - e.claimDelay
	return e.isReleased && sinceHeard >= 0 || sinceHeard > ownerTimeout
}

func (e *Election) renew(ctx context.Context, offset int64) error {
	sent := e.clock.Instant()
	if offset != e.renewedAt {
		e.renewedAt, e.renewalSent = offset, sent
	}
	isStored, err := e.append(ctx, offset, &wire.LeadRecord{Renewal: true})
	if err == nil && !isStored && e.isOvertaken(offset) {
		return nil
	}
	e.mu.Lock()
	e.isRenewalFailing = err != nil
	switch {
	case isStored:
		e.lastRenewal = sent
	case err == nil && e.isOwner():
		// An earlier attempt was stored, possibly the first.
		e.lastRenewal = e.renewalSent
	}
	e.mu.Unlock()
	if err != nil {
		return err
	}
	return e.clock.Sleep(ctx, renewInterval)
}

// isOvertaken reports whether only records of another writer stand from an offset on, so that the renewal is due there anew.
func (e *Election) isOvertaken(offset int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestRecord < offset && e.nextOffset > offset
}

// readFirst reads the topic for the first time. The owner is then asked at once for its term, as this host does not know how
// old the newest renewal is.
func (e *Election) readFirst(ctx context.Context) error {
	if err := e.read(ctx, 0, 0); err != nil {
		return err
	}
	e.mu.Lock()
	e.lastHeard = e.clock.Now().Add(-probeAfter)
	e.mu.Unlock()
	return nil
}

// append writes a record on the condition that the topic ends at offset, and reports whether it did; when the topic ends
// elsewhere, append reads the records from there instead.
func (e *Election) append(ctx context.Context, offset int64, m *wire.LeadRecord) (isStored bool, err error) {
	m.Host, m.Lifetime, m.Addr = e.self.Host, e.self.Lifetime, e.self.Addr.String()
	m.LeaseMillis = e.maxLease.Milliseconds()
	b, err := proto.Marshal(m)
	if err != nil {
		return false, fmt.Errorf("encode claim: %w", err)
	}
	_, err = e.store.Append(ctx, port.Append{Topic: topic, Entries: []port.Entry{{Value: b}}, IsConditional: true, At: offset})
	if errors.Is(err, port.ErrConflict) {
		return false, e.read(ctx, offset, 0)
	}
	if err != nil {
		return false, fmt.Errorf("append claim at %d: %w", offset, err)
	}
	e.apply(offset, record{LeadRecord: m, addr: e.self.Addr})
	return true, nil
}

// read applies the records from an offset on.
func (e *Election) read(ctx context.Context, from int64, wait time.Duration) error {
	p, err := e.store.Read(ctx, topic, from, wait)
	isExpired := errors.Is(err, port.ErrExpired)
	if isExpired {
		p, err = e.store.Read(ctx, topic, p.First, 0)
	}
	if err != nil {
		return fmt.Errorf("read claims from %d: %w", from, err)
	}
	e.mu.Lock()
	if isExpired || e.nextOffset < 0 && p.End > 0 {
		e.lastRecord = e.clock.Now()
	}
	if !e.isReachable {
		// Renewals could not be read while the store was unreachable, so their absence does not show that the owner failed.
		e.isReachable = true
		e.lastHeard = e.clock.Now()
	}
	if e.nextOffset < 0 {
		e.nextOffset = p.End
		e.isReleased = p.End == 0
	}
	e.mu.Unlock()
	for _, x := range p.Entries {
		m, err := decodeRecord(x.Value)
		if err != nil {
			e.ignore(x.Offset, err)
			continue
		}
		e.apply(x.Offset, m)
	}
	return nil
}

// ignore skips a record that no host wrote.
func (e *Election) ignore(offset int64, cause error) {
	e.ignored.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextOffset = max(e.nextOffset, offset+1)
	if e.ignoredLines.Pass() {
		e.log.Warn("ignoring record of another writer", "Topic", topic.Name, "Offset", offset, "Cause", cause.Error())
	}
}

// apply processes one record; a claim starts a term, which is the offset of the claim plus one. A renewal by a host that is not known
// to be the owner belongs to a term whose claim was not read.
func (e *Election) apply(offset int64, m record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextOffset = max(e.nextOffset, offset+1)
	e.newestRecord = max(e.newestRecord, offset)
	former := e.lastRecord
	e.lastHeard = e.clock.Now()
	e.lastRecord = e.lastHeard
	if lease := m.GetLeaseMillis(); lease <= 0 || lease > e.maxLease.Milliseconds() {
		e.longLeaseAt = e.lastHeard
	}
	e.isReleased = m.GetReleased()
	isSame := e.owner.Host == m.GetHost() && e.owner.Lifetime == m.GetLifetime()
	if m.GetRenewal() && isSame {
		return
	}
	e.owner = Owner{Host: m.GetHost(), Lifetime: m.GetLifetime(), Addr: m.addr, Term: offset + 1}
	e.isTermUnknown = m.GetRenewal()
	e.formerHeardAt = former
}
