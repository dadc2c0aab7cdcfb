package owner

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// bench runs the real stream, members and owner of a few hosts of one failure domain, whose owners act on one worker.
type bench struct {
	t       *testing.T
	ctx     context.Context
	net     *nettest.Net
	log     *nettest.Log
	hosts   []*host
	started int
	// late names the host whose appends reach the log later.
	late string

	mu sync.Mutex
	// workers holds the highest term that each worker has seen.
	workers [2]fleet.Term
	acts    []act
}

// act is one command of an owner.
type act struct {
	at       time.Time
	term     fleet.Term
	isFenced bool
}

type host struct {
	name    string
	addr    netip.AddrPort
	stream  *stream.Stream
	members *member.Members
	owner   *Owner
	cancel  context.CancelFunc
	pause   *nettest.Pause
	// worker is the one that the host reaches.
	worker atomic.Int32
	mu     sync.Mutex
	gained []fleet.Term
	lost   []fleet.Term
}

func run(t *testing.T, f func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{t: t, ctx: ctx, net: nettest.New(), log: nettest.NewLog()}
		f(b)
		for _, h := range b.hosts {
			h.pause.Resume()
		}
		cancel()
		synctest.Wait()
	})
}

// runBoth runs f with the mechanism and with the mutation that turns it off.
func runBoth(t *testing.T, name, mutation string, f func(t *testing.T, b *bench, mutate bool)) {
	nettest.Both(t, name, mutation, func(t *testing.T, mutate bool) {
		run(t, func(b *bench) { f(t, b, mutate) })
	})
}

// start runs a Ready host whose seeds are all hosts before it.
func (b *bench) start(name string, change ...func(*Owner)) *host {
	b.started++
	n := b.started
	h := &host{name: name, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 4000)}
	h.pause = b.net.Pause(h.addr)
	var seeds []netip.AddrPort
	for _, o := range b.hosts {
		seeds = append(seeds, o.addr)
	}
	b.hosts = append(b.hosts, h)
	c := h.pause.Clock()
	h.stream = stream.New(stream.WithLog(b.port(h)), stream.WithClock(c), stream.WithHost(name),
		stream.WithPeers(b.net.Peers(h.addr), func() []netip.AddrPort { return h.members.Addrs() }))
	h.owner = New(WithSelf(name, "north"), WithClock(c),
		WithMembers(func() member.Member { return h.members.Self() }, func() []member.Member { return h.members.Peers() }),
		WithLog(h.stream.Append, h.stream.Queue, h.stream.IsUp),
		WithGain(func(ctx context.Context, t fleet.Term) { b.act(ctx, h, t) }),
		WithLose(func(t fleet.Term) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.lost = append(h.lost, t)
		}),
		WithAnnounce(func(ctx context.Context) { h.members.Announce(ctx) }))
	h.members = member.New(member.WithSelf(name, "north", h.addr), member.WithClock(c),
		member.WithPeers(b.net.Peers(h.addr)), member.WithSeeds(seeds...), member.WithOwnership(h.owner.Ownership),
		member.WithHeard(h.owner.Heard), member.WithAck(h.owner.Acked),
		member.WithConfigOffset(h.stream.Next), member.WithOffset(h.stream.Hint))
	h.members.SetState(member.Ready)
	for _, f := range change {
		f(h.owner)
	}
	h.stream.Subscribe(h.owner.Fold)
	nettest.Serve(b.net, h.addr, "Peer.Heartbeat", h.members.Heartbeat)
	nettest.Serve(b.net, h.addr, "Peer.Records", h.stream.Records)
	nettest.Serve(b.net, h.addr, "Peer.Snapshot", h.stream.Snapshot)
	ctx, cancel := context.WithCancel(b.ctx)
	h.cancel = cancel
	go func() { _ = h.stream.Run(ctx) }()
	go func() { _ = h.members.Run(ctx) }()
	go func() { _ = h.owner.Run(ctx) }()
	return h
}

// port is the log as a host reaches it: not while it is paused.
func (b *bench) port(h *host) port.Log {
	p := b.log.Port()
	return port.Log{
		Append: func(ctx context.Context, data [][]byte) (uint64, error) {
			if err := h.pause.Wait(ctx); err != nil {
				return 0, err
			}
			if h.name == b.late {
				time.Sleep(30 * time.Millisecond)
			}
			return p.Append(ctx, data)
		},
		Read: func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			page, err := p.Read(ctx, from, limit, wait)
			if werr := h.pause.Wait(ctx); werr != nil {
				return port.Page{}, werr
			}
			return page, err
		},
	}
}

var errFenced = errors.New("worker holds a higher term")

// act commands the worker ten times a second, as long as the owner's check allows it.
func (b *bench) act(ctx context.Context, h *host, t fleet.Term) {
	h.mu.Lock()
	h.gained = append(h.gained, t)
	h.mu.Unlock()
	c := h.pause.Clock()
	for ctx.Err() == nil {
		if h.owner.Check() == nil && h.owner.Term() == t {
			if err := b.command(h, t); err != nil {
				h.owner.Observe(b.highest(h))
			}
		}
		_ = c.Sleep(ctx, 100*time.Millisecond)
	}
}

func (b *bench) highest(h *host) fleet.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workers[h.worker.Load()]
}

func (b *bench) command(h *host, t fleet.Term) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.workers[h.worker.Load()]
	isFenced := t.Less(*w)
	b.acts = append(b.acts, act{at: time.Now(), term: t, isFenced: isFenced})
	if isFenced {
		return errFenced
	}
	*w = t
	return nil
}

// actsSince returns what owners commanded from a time on.
func (b *bench) actsSince(t time.Time) []act {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(b.acts), func(a act) bool { return a.at.Before(t) })
}

func (b *bench) kill(h *host) {
	h.cancel()
	b.net.Remove(h.addr)
	b.hosts = slices.DeleteFunc(b.hosts, func(o *host) bool { return o == h })
}

func (b *bench) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// owners lists the hosts whose check allows them to act now.
func (b *bench) owners() []string {
	var ns []string
	for _, h := range b.hosts {
		if h.owner.Check() == nil {
			ns = append(ns, h.name)
		}
	}
	return ns
}

// takeover returns how long it took until an owner in a later term has commanded the worker.
func (b *bench) takeover(before fleet.Term, start time.Time) time.Duration {
	b.t.Helper()
	for _, a := range b.actsSince(start) {
		if before.Less(a.term) && !a.isFenced {
			return a.at.Sub(start)
		}
	}
	b.t.Fatalf("nobody took over from %s", before)
	return 0
}

func names(n int) []string {
	var ns []string
	for i := range n {
		ns = append(ns, fmt.Sprintf("host-%d", i))
	}
	return ns
}

// split cuts the first two hosts off from the others, or heals the links.
func (b *bench) split(isCut bool) {
	for _, x := range b.hosts[:2] {
		for _, y := range b.hosts[2:] {
			b.net.Cut(x.addr, y.addr, isCut)
		}
	}
}
