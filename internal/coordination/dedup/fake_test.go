package dedup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// seeds is the number of seeds for delays and orders of events that each failure is tested with.
	seeds = 30
	// deliveryDelay is how long a record takes from the log to a host.
	deliveryDelay = 5 * time.Millisecond
)

var (
	errDown    = errors.New("log is down")
	errUnknown = errors.New("result of the append is not known")
)

type logRecord struct {
	at  time.Time
	rec *wire.Record
}

// fakeLog is a log in memory.
type fakeLog struct {
	mu        sync.Mutex
	records   []logRecord
	retention time.Duration
	appends   int
	bytes     int
	// changed is closed and replaced with each record.
	changed chan struct{}
}

func (l *fakeLog) add(r *wire.Record) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.bytes += proto.Size(r)
	l.records = append(l.records, logRecord{at: time.Now(), rec: proto.Clone(r).(*wire.Record)})
	close(l.changed)
	l.changed = make(chan struct{})
	return uint64(len(l.records))
}

func (l *fakeLog) wait() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// first returns the oldest offset within the retention.
func (l *fakeLog) first() uint64 {
	for i, r := range l.records {
		if time.Since(r.at) < l.retention {
			return uint64(i + 1)
		}
	}
	return uint64(len(l.records) + 1)
}

// fakeHost is one host with the faults injected into it.
type fakeHost struct {
	name   string
	addr   netip.AddrPort
	ledger *Ledger
	c      *fakeCluster

	mu        sync.Mutex
	up        bool
	stopped   chan struct{}
	logUp     bool
	logAt     time.Time
	loseLog   bool
	owns      fleet.Term
	next      uint64
	ids       map[string]bool
	ended     bool
	messages  int
	wireBytes int
}

type fakeCluster struct {
	t     *testing.T
	log   *fakeLog
	rand  *rand.Rand
	delay time.Duration
	off   disabledMechanisms
	opts  []Option
	// logDown is whether the log is down for hosts that are started.
	logDown bool

	wg    sync.WaitGroup
	mu    sync.Mutex
	hosts []*fakeHost
	// cut reports whether two hosts cannot reach each other.
	cut  func(a, b string) bool
	lose func(method string) bool
}

func newCluster(t *testing.T, seed uint64, off disabledMechanisms, opts ...Option) *fakeCluster {
	return &fakeCluster{
		t:     t,
		log:   &fakeLog{retention: 100 * 24 * time.Hour, changed: make(chan struct{})},
		rand:  rand.New(rand.NewPCG(seed, 3)),
		delay: time.Duration(1+seed) * time.Millisecond,
		off:   off,
		opts:  opts,
		cut:   func(string, string) bool { return false },
		lose:  func(string) bool { return false },
	}
}

// start adds a host that reads the log and copies the claims of its peers.
func (c *fakeCluster) start(name string) *fakeHost {
	h := &fakeHost{name: name, c: c, up: true, logUp: !c.logDown, stopped: make(chan struct{}), ids: map[string]bool{}}
	c.mu.Lock()
	h.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(c.hosts)))
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	opts := []Option{
		WithDomain("north-quay", []string{"north-quay"}),
		WithHost(name),
		WithPeers(h.peers, port.Peers{Call: h.call}),
		WithLog(h.append, h.queue, func(err error) bool {
			return errors.Is(err, errDown) || errors.Is(err, errUnknown) || errors.Is(err, context.DeadlineExceeded)
		}),
		WithLogUp(func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			// A host detects an outage only after 1 s.
			return h.logUp || time.Since(h.logAt) < time.Second
		}),
		WithOwner(func() (fleet.Term, bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.owns, h.up && !h.owns.IsZero()
		}),
	}
	h.ledger = New(append(opts, c.opts...)...)
	h.ledger.disabled = c.off
	c.wg.Go(h.run)
	time.Sleep(10 * deliveryDelay)
	_ = h.ledger.Join(c.t.Context())
	return h
}

// stop ends a host and loses all that it held.
func (h *fakeHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		close(h.stopped)
	}
	h.up = false
}

// stop ends all hosts and waits for their goroutines.
func (c *fakeCluster) stop() {
	for _, h := range c.hosts {
		h.stop()
	}
	c.wg.Wait()
}

func (h *fakeHost) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

func (h *fakeHost) setLog(up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logUp = up
	h.logAt = time.Now()
}

// setLose sets whether the answers to this host's appends are lost.
func (h *fakeHost) setLose(lose bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loseLog = lose
}

func (h *fakeHost) loses() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loseLog
}

func (h *fakeHost) term() fleet.Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owns
}

// setCut replaces the function that reports which hosts cannot reach each other.
func (c *fakeCluster) setCut(f func(a, b string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = f
}

func (c *fakeCluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut(a, b)
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *fakeLog) retain(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = d
}

func (c *fakeCluster) setLog(up bool) {
	c.logDown = !up
	for _, h := range c.hosts {
		h.setLog(up)
	}
}

// own gives the host a term; other hosts keep theirs, like an owner that does not know of a newer one.
func (h *fakeHost) own(counter uint64) fleet.Term {
	t := fleet.Term{Counter: counter, Host: h.name}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owns = t
	return t
}

// run reads the log and calls Tick every second.
func (h *fakeHost) run() {
	second := time.NewTicker(tickInterval)
	defer second.Stop()
	for h.isUp() {
		changed := h.c.log.wait()
		h.read()
		select {
		case <-changed:
			time.Sleep(deliveryDelay)
		case <-second.C:
			h.c.wg.Go(func() { h.ledger.Tick(h.c.t.Context()) })
		case <-h.stopped:
		}
	}
}

func (h *fakeHost) read() {
	h.mu.Lock()
	up := h.logUp
	h.mu.Unlock()
	if !up {
		return
	}
	l := h.c.log
	l.mu.Lock()
	first := l.first()
	h.next = max(h.next, first)
	rs := l.records[h.next-1:]
	l.mu.Unlock()
	for _, r := range rs {
		if !h.ids[r.rec.GetId()] {
			h.ids[r.rec.GetId()] = true
			h.ledger.Fold(h.next, r.at, r.rec)
		}
		h.next++
	}
	if !h.ended {
		h.ended = true
		h.ledger.ReachedEnd(first)
	}
}

func (h *fakeHost) append(ctx context.Context, r *wire.Record) (uint64, error) {
	time.Sleep(h.c.delay)
	h.mu.Lock()
	up, lose := h.logUp && h.up, h.loseLog
	h.mu.Unlock()
	if !up {
		return 0, fmt.Errorf("append: %w", errDown)
	}
	n := h.c.log.add(r)
	if lose {
		return 0, fmt.Errorf("append: %w", errUnknown)
	}
	return n, ctx.Err()
}

func (h *fakeHost) queue(r *wire.Record) error {
	_, err := h.append(context.Background(), r)
	return err
}

func (h *fakeHost) peers() []Peer {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	var ps []Peer
	for _, o := range h.c.hosts {
		if o != h && o.isUp() && !h.c.cut(h.name, o.name) {
			ps = append(ps, Peer{Name: o.name, Addr: o.addr})
		}
	}
	return ps
}

func (h *fakeHost) call(ctx context.Context, to netip.AddrPort, method string, q, r proto.Message) error {
	c := h.c
	c.mu.Lock()
	o := c.hosts[int(to.Port())-1000]
	d := time.Duration(c.rand.Int64N(int64(c.delay) + 1))
	lost := c.lose(method)
	c.mu.Unlock()
	time.Sleep(d)
	if !o.isUp() || !h.isUp() || c.isCut(h.name, o.name) {
		<-ctx.Done()
		return ctx.Err()
	}
	var err error
	switch method {
	case "Peer.Claim":
		// Messages are copied so that hosts share no memory.
		x := proto.Clone(q).(*wire.ClaimRequest)
		var y wire.ClaimReply
		err = o.ledger.ServeClaim(ctx, x, &y)
		proto.Merge(r, &y)
	case "Peer.Claims":
		var y wire.ClaimsReply
		err = o.ledger.ServeClaims(ctx, q.(*wire.ClaimsRequest), &y)
		proto.Merge(r, &y)
	}
	h.mu.Lock()
	h.messages += 2
	h.wireBytes += proto.Size(q) + proto.Size(r)
	h.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func job(id, key string) fleet.Job {
	return fleet.Job{
		ID:           id,
		Organisation: "authority",
		Profile:      "register",
		Key:          key,
		Attempt:      1,
		Shape:        fleet.Shape{Tasks: 1, Adjacent: fleet.LevelDomain},
		Work:         []byte("tag 17"),
	}
}

// claim claims a key for a job in the term that the host believes it has.
func (h *fakeHost) claim(id, key string) error {
	return h.ledger.Claim(h.c.t.Context(), h.term(), job(id, key), []string{"w1", "w2"})
}

func (h *fakeHost) done(id, key string) error {
	o := &wire.Outcome{Job: id, Attempt: 1, Kind: string(fleet.Done), Answer: []byte("tag 17 issued")}
	return h.ledger.PutOutcome(h.c.t.Context(), h.owns, job(id, key), o)
}
