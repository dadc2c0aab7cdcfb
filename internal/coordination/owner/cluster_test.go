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

// cluster runs the real stream, members and owner of several hosts of one failure domain; owners send commands to the
// worker that their host reaches.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	net     *nettest.Net
	log     *nettest.Log
	hosts   []*host
	started int
	// lateHost is the name of the host whose appends to the log are delayed.
	lateHost string

	mu sync.Mutex
	// workers holds the highest term that each worker has seen.
	workers  [2]fleet.Term
	commands []command
}

// command is one command of an owner to a worker.
type command struct {
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
	// worker is the index of the worker that the host reaches.
	worker atomic.Int32
	mu     sync.Mutex
	gained []fleet.Term
	lost   []fleet.Term
}

func run(t *testing.T, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, net: nettest.New(), log: nettest.NewLog()}
		f(c)
		for _, h := range c.hosts {
			h.pause.Resume()
		}
		cancel()
		synctest.Wait()
	})
}

// runBoth runs f with the mechanism enabled, and with the mutation that disables it.
func runBoth(t *testing.T, name, mutation string, f func(t *testing.T, c *cluster, mutate bool)) {
	nettest.RunWithMutation(t, name, mutation, func(t *testing.T, mutate bool) {
		run(t, func(c *cluster) { f(t, c, mutate) })
	})
}

// start runs a Ready host that has all hosts before it as seeds.
func (c *cluster) start(name string, change ...func(*Owner)) *host {
	c.started++
	n := c.started
	h := &host{name: name, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 4000)}
	h.pause = c.net.Pause(h.addr)
	var seeds []netip.AddrPort
	for _, o := range c.hosts {
		seeds = append(seeds, o.addr)
	}
	c.hosts = append(c.hosts, h)
	clk := h.pause.Clock()
	h.stream = stream.New(stream.WithLog(c.hostLog(h)), stream.WithClock(clk), stream.WithHost(name),
		stream.WithPeers(c.net.Peers(h.addr), func() []netip.AddrPort { return h.members.Addrs() }))
	h.owner = New(WithSelf(name, "north"), WithClock(clk),
		WithMembers(func() member.Member { return h.members.Self() }, func() []member.Member { return h.members.Peers() }),
		WithLog(h.stream.Append, h.stream.Queue, h.stream.IsUp),
		WithOnStartTerm(func(ctx context.Context, t fleet.Term) { c.runOwner(ctx, h, t) }),
		WithOnEndTerm(func(t fleet.Term) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.lost = append(h.lost, t)
		}),
		WithAnnounce(func(ctx context.Context) { h.members.Announce(ctx) }))
	h.members = member.New(member.WithSelf(name, "north", h.addr), member.WithClock(clk),
		member.WithPeers(c.net.Peers(h.addr)), member.WithSeeds(seeds...), member.WithOwnership(h.owner.Ownership),
		member.WithOnHeartbeat(h.owner.HandleHeartbeat), member.WithOnHeartbeatAck(h.owner.Acked),
		member.WithConfigOffset(h.stream.Next), member.WithOnNewerOffset(h.stream.ObservePeerOffset))
	h.members.SetState(member.Ready)
	for _, f := range change {
		f(h.owner)
	}
	h.stream.Subscribe(h.owner.Fold)
	nettest.Serve(c.net, h.addr, "Peer.Heartbeat", h.members.Heartbeat)
	nettest.Serve(c.net, h.addr, "Peer.Records", h.stream.Records)
	nettest.Serve(c.net, h.addr, "Peer.Snapshot", h.stream.Snapshot)
	ctx, cancel := context.WithCancel(c.ctx)
	h.cancel = cancel
	go func() { _ = h.stream.Run(ctx) }()
	go func() { _ = h.members.Run(ctx) }()
	go func() { _ = h.owner.Run(ctx) }()
	return h
}

// hostLog returns the log as a host reaches it; calls block while the host is paused.
func (c *cluster) hostLog(h *host) port.Log {
	p := c.log.Port()
	return port.Log{
		Append: func(ctx context.Context, data [][]byte) (uint64, error) {
			if err := h.pause.Wait(ctx); err != nil {
				return 0, err
			}
			if h.name == c.lateHost {
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

// runOwner sends a command to the worker ten times a second while the owner's check allows it.
func (c *cluster) runOwner(ctx context.Context, h *host, t fleet.Term) {
	h.mu.Lock()
	h.gained = append(h.gained, t)
	h.mu.Unlock()
	clk := h.pause.Clock()
	for ctx.Err() == nil {
		if h.owner.Check() == nil && h.owner.Term() == t {
			if err := c.sendCommand(h, t); err != nil {
				h.owner.ObserveTerm(c.highestTerm(h))
			}
		}
		_ = clk.Sleep(ctx, 100*time.Millisecond)
	}
}

func (c *cluster) highestTerm(h *host) fleet.Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[h.worker.Load()]
}

func (c *cluster) sendCommand(h *host, t fleet.Term) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.workers[h.worker.Load()]
	isFenced := t.Less(*w)
	c.commands = append(c.commands, command{at: time.Now(), term: t, isFenced: isFenced})
	if isFenced {
		return errFenced
	}
	*w = t
	return nil
}

// commandsSince returns the commands that owners sent at or after t.
func (c *cluster) commandsSince(t time.Time) []command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.commands), func(a command) bool { return a.at.Before(t) })
}

func (c *cluster) kill(h *host) {
	h.cancel()
	c.net.Remove(h.addr)
	c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
}

func (c *cluster) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// owners lists the hosts whose check allows them to act now.
func (c *cluster) owners() []string {
	var ns []string
	for _, h := range c.hosts {
		if h.owner.Check() == nil {
			ns = append(ns, h.name)
		}
	}
	return ns
}

// takeoverTime returns the time from start until an owner in a later term sent a command that the worker accepted.
func (c *cluster) takeoverTime(before fleet.Term, start time.Time) time.Duration {
	c.t.Helper()
	for _, a := range c.commandsSince(start) {
		if before.Less(a.term) && !a.isFenced {
			return a.at.Sub(start)
		}
	}
	c.t.Fatalf("no owner took over from %s", before)
	return 0
}

func hostNames(n int) []string {
	var ns []string
	for i := range n {
		ns = append(ns, fmt.Sprintf("host-%d", i))
	}
	return ns
}

// setPartition separates the first two hosts from the others, or restores their links.
func (c *cluster) setPartition(isCut bool) {
	for _, x := range c.hosts[:2] {
		for _, y := range c.hosts[2:] {
			c.net.SetCut(x.addr, y.addr, isCut)
		}
	}
}
