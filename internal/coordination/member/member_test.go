package member

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// testBed is a set of hosts that share a simulated network and a platform's host list.
type testBed struct {
	t     *testing.T
	ctx   context.Context
	net   *nettest.Net
	hosts []*host
	// list is the reply of the platform; nil means that the platform is down.
	list atomic.Pointer[port.Listing]
}

type host struct {
	*Members
	addr   netip.AddrPort
	cancel context.CancelFunc
}

func run(t *testing.T, f func(b *testBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &testBed{t: t, ctx: ctx, net: nettest.New()}
		f(b)
		cancel()
		synctest.Wait()
	})
}

// runWithMutation runs f once as is and once with the mechanism under test disabled.
func runWithMutation(t *testing.T, name, mutation string, f func(t *testing.T, b *testBed, mutate bool)) {
	nettest.RunWithMutation(t, name, mutation, func(t *testing.T, mutate bool) {
		run(t, func(b *testBed) { f(t, b, mutate) })
	})
}

func (b *testBed) addr() netip.AddrPort {
	n := len(b.hosts) + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4000)
}

// start runs a host whose seeds are the hosts started before it.
func (b *testBed) start(name, domain string, opts ...Option) *host {
	h := &host{addr: b.addr()}
	var seeds []netip.AddrPort
	for _, o := range b.hosts {
		seeds = append(seeds, o.addr)
	}
	return b.run(h, name, domain, append([]Option{WithSeeds(seeds...)}, opts...))
}

func (b *testBed) run(h *host, name, domain string, opts []Option) *host {
	b.hosts = append(b.hosts, h)
	list := func(context.Context) (port.Listing, error) {
		if l := b.list.Load(); l != nil {
			return *l, nil
		}
		return port.Listing{}, errors.New("platform is down")
	}
	all := []Option{
		WithSelf(name, domain, h.addr), WithPeers(b.net.Peers(h.addr)), WithHosts(port.Hosts{List: list}),
		WithClock(b.net.Pause(h.addr).Clock()),
	}
	h.Members = New(append(all, opts...)...)
	h.SetState(Ready)
	nettest.Serve(b.net, h.addr, "Peer.Heartbeat", h.Heartbeat)
	nettest.Serve(b.net, h.addr, "Peer.Digest", h.Digest)
	ctx, cancel := context.WithCancel(b.ctx)
	h.cancel = cancel
	go func() { _ = h.Run(ctx) }()
	return h
}

func (b *testBed) kill(h *host) {
	h.cancel()
	b.net.Remove(h.addr)
}

func (b *testBed) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// names returns the names of the live hosts of a domain as seen by h; a trailing "!" marks those that get no new work.
func (h *host) names(domain string) []string {
	var ns []string
	for _, m := range h.Live(domain) {
		n := m.Name
		if !m.IsUsable() {
			n += "!"
		}
		ns = append(ns, n)
	}
	return ns
}

func workers(domain string, n int) []fleet.Worker {
	var ws []fleet.Worker
	for i := range n {
		ws = append(ws, fleet.Worker{
			Name: fmt.Sprintf("%s-worker-%03d", domain, i), Domain: domain, Rack: fmt.Sprint("rack-", i/8),
			Addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
			Slots: 8, Connections: 64, Accelerators: 8, Processors: 128, Memory: 512 * fleet.Gigabyte,
		})
	}
	return ws
}

func TestMembersSuspectUnresponsiveHostBeforeRemovingIt(t *testing.T) {
	run(t, func(b *testBed) {
		x, y, z := b.start("x", "north"), b.start("y", "north"), b.start("z", "north")
		b.sleep(3 * time.Second)
		for _, h := range b.hosts {
			require.Equal(t, []string{"x", "y", "z"}, h.names("north"))
		}
		b.kill(z)
		b.sleep(time.Second + 300*time.Millisecond)
		require.Equal(t, []string{"x", "y", "z!"}, x.names("north"), "suspected within 1.3 s and not removed yet")
		require.Equal(t, []string{"x", "y", "z!"}, y.names("north"))
		b.sleep(2 * time.Second)
		require.Equal(t, []string{"x", "y"}, x.names("north"))
		require.Equal(t, []string{"x", "y"}, y.names("north"))
	})
}

func TestMembersStartWithoutSuspicion(t *testing.T) {
	run(t, func(b *testBed) {
		var all []netip.AddrPort
		for i := range 4 {
			all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4000))
		}
		for i := range 4 {
			ring := events.NewRing("h", 100, events.NewClock(time.Now))
			b.start(fmt.Sprint("h", i), "north", WithRing(ring), WithSeeds(all...))
			b.sleep(40 * time.Millisecond)
		}
		b.sleep(10 * time.Second)
		b.kill(b.hosts[3])
		b.sleep(5 * time.Second)
		h := &host{addr: b.hosts[3].addr}
		b.run(h, "h3", "north", []Option{WithSeeds(all...)})
		b.sleep(10 * time.Second)
		for _, h := range b.hosts[:3] {
			es, _ := h.ring.Find(events.Filter{})
			suspects := 0
			for _, e := range es {
				if e.Kind == events.MemberSuspect {
					suspects++
				}
			}
			require.Equal(t, 1, suspects, "only the killed host is suspected, and only once: %v", es)
		}
	})
}

func TestMembersPausedHostSuspectsNobody(t *testing.T) {
	runWithMutation(t, "detects its own pause", "ignores its own pause", func(t *testing.T, b *testBed, mutate bool) {
		b.net.Delay = func(netip.AddrPort, netip.AddrPort) time.Duration { return 20 * time.Millisecond }
		x := b.start("x", "north", func(m *Members) { m.ignoresPause = mutate })
		y := b.start("y", "north")
		z := b.start("z", "north")
		b.sleep(3 * time.Second)
		p := b.net.Pause(x.addr)
		p.Stop()
		b.sleep(30 * time.Second)
		require.Equal(t, []string{"y", "z"}, y.names("north"))
		// The check matters between resuming and the first heartbeat received, so the peers are muted during that time.
		b.net.Silence(y.addr, x.addr, true)
		b.net.Silence(z.addr, x.addr, true)
		b.sleep(time.Second)
		p.Resume()
		b.sleep(10 * time.Millisecond)
		b.net.Silence(y.addr, x.addr, false)
		b.net.Silence(z.addr, x.addr, false)
		if mutate {
			require.NotEqual(t, []string{"x", "y", "z"}, x.names("north"))
			return
		}
		require.Equal(t, []string{"x", "y", "z"}, x.names("north"))
		b.sleep(3 * time.Second)
		require.Equal(t, []string{"x", "y", "z"}, x.names("north"))
		require.Equal(t, []string{"x", "y", "z"}, y.names("north"))
	})
}

func TestMembersLeavingHostGetsNoNewWork(t *testing.T) {
	run(t, func(b *testBed) {
		x, y, z := b.start("x", "north"), b.start("y", "north"), b.start("z", "north")
		b.list.Store(&port.Listing{Hosts: []port.Host{{Name: "x", Domain: "north", Addr: x.addr}}, Workers: workers("north", 2)})
		b.sleep(6 * time.Second)
		z.Leave(b.ctx)
		synctest.Wait()
		require.Equal(t, []string{"x", "y", "z!"}, x.names("north"), "announced immediately")
		require.Equal(t, []string{"x", "y", "z!"}, y.names("north"))
		b.list.Store(&port.Listing{Hosts: []port.Host{{Name: "y", Domain: "north", Addr: y.addr, Leaving: true}}, Workers: workers("north", 1)})
		b.sleep(6 * time.Second)
		require.Equal(t, []string{"x", "y!", "z!"}, x.names("north"), "the platform's list can mark a host as leaving")
		require.Equal(t, Leaving, y.Self().State)
		for _, w := range x.Workers() {
			require.Equal(t, w.Name == "north-worker-001", w.Leaving, "an unlisted worker counts as leaving")
		}
		b.list.Store(&port.Listing{})
		b.sleep(time.Minute)
		require.Len(t, x.Workers(), 2, "an empty list is ignored")
	})
}

func TestMembersAllHostsReplacedOneByOne(t *testing.T) {
	run(t, func(b *testBed) {
		for i := range 8 {
			b.start(fmt.Sprintf("h%d", i), "north")
		}
		b.list.Store(&port.Listing{Workers: workers("north", 20)})
		b.sleep(6 * time.Second)
		b.list.Store(nil)
		for i := range 8 {
			b.hosts[i].Leave(b.ctx)
			b.kill(b.hosts[i])
			h := &host{addr: b.addr()}
			b.run(h, fmt.Sprintf("n%d", i), "north", []Option{WithSeeds(b.hosts[i+1].addr)})
			b.sleep(7 * time.Second)
		}
		for _, h := range b.hosts[8:] {
			require.Equal(t, []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}, h.names("north"))
			require.Len(t, h.Workers(), 20)
		}
	})
}

func TestMembersRestartedHostReplacesPreviousIncarnation(t *testing.T) {
	run(t, func(b *testBed) {
		x, y := b.start("x", "north"), b.start("y", "north")
		b.sleep(2 * time.Second)
		b.kill(y)
		old := y.Self()
		b.sleep(500 * time.Millisecond)
		again := b.start("y", "north")
		again.SetState(Joining)
		b.sleep(2 * time.Second)
		require.Equal(t, []string{"x", "y!"}, x.names("north"))
		require.Equal(t, again.addr, x.Peers()[0].Addr)
		late := &wire.Heartbeat{From: wireMember(old, true), Owner: true}
		require.NoError(t, x.Heartbeat(b.ctx, late, &wire.HeartbeatReply{}))
		require.Equal(t, Joining, x.Peers()[0].State, "a late heartbeat of the previous incarnation is ignored")
		require.False(t, x.Peers()[0].Ownership.IsOwner)
	})
}

func TestMembersBrokenAndRestoredLink(t *testing.T) {
	run(t, func(b *testBed) {
		x, y, z := b.start("x", "north"), b.start("y", "north"), b.start("z", "north")
		b.sleep(3 * time.Second)
		b.net.SetCut(x.addr, y.addr, true)
		b.sleep(time.Hour)
		require.Equal(t, []string{"x", "z"}, x.names("north"))
		require.Equal(t, []string{"x", "y", "z"}, z.names("north"))
		b.net.SetCut(x.addr, y.addr, false)
		b.sleep(3 * time.Second)
		require.Equal(t, []string{"x", "y", "z"}, x.names("north"))
		b.net.Silence(x.addr, y.addr, true)
		b.net.Silence(y.addr, x.addr, true)
		b.sleep(1300 * time.Millisecond)
		require.Equal(t, []string{"x", "y!", "z"}, x.names("north"), "dropped messages are detected like a broken link")
		require.Equal(t, []string{"x!", "y", "z"}, y.names("north"))
	})
}

func TestMembersReportChangedWorkersToOwner(t *testing.T) {
	runWithMutation(t, "keeps changes until acknowledged", "drops changes when sent", func(t *testing.T, b *testBed, mutate bool) {
		var mu sync.Mutex
		heard := make(map[string]int)
		owner := b.start("o", "north", WithOwnership(func() Ownership {
			return Ownership{Term: fleet.Term{Counter: 1, Host: "o"}, IsOwner: true}
		}), WithOnWorkerChanged(func(w string) {
			mu.Lock()
			defer mu.Unlock()
			heard[w]++
		}))
		other := b.start("h", "north", func(m *Members) { m.dropsUnacked = mutate })
		b.sleep(2 * time.Second)
		other.NotifyOwner("a")
		b.sleep(400 * time.Millisecond)
		require.Equal(t, map[string]int{"a": 1}, heard)
		b.net.Silence(other.addr, owner.addr, true)
		for i := range 100 {
			other.NotifyOwner(fmt.Sprint("w", i))
		}
		b.sleep(time.Second)
		b.net.Silence(other.addr, owner.addr, false)
		b.sleep(3 * time.Second)
		if mutate {
			require.Less(t, len(heard), 101, "changes are lost with the replies that carried them")
			return
		}
		require.Len(t, heard, 101)
		require.Empty(t, other.changes.workers)
	})
}

func TestMembersControlBytes(t *testing.T) {
	for _, c := range []struct{ domains, hosts int }{{1, 3}, {1, 8}, {3, 3}, {11, 3}} {
		run(t, func(b *testBed) {
			var l port.Listing
			for d := range c.domains {
				name := fmt.Sprintf("domain-%02d", d)
				for i := range c.hosts {
					h := b.start(fmt.Sprintf("%s-host-%d", name, i), name)
					l.Hosts = append(l.Hosts, port.Host{Name: h.self.Name, Domain: name, Addr: h.addr})
				}
			}
			b.list.Store(&l)
			b.sleep(20 * time.Second)
			before := make([]int64, len(b.hosts))
			for i, h := range b.hosts {
				before[i] = b.net.Bytes(h.addr)
			}
			b.sleep(40 * time.Second)
			var most, sum int64
			for i, h := range b.hosts {
				n := (b.net.Bytes(h.addr) - before[i]) / 40
				most, sum = max(most, n), sum+n
			}
			mean := sum / int64(len(b.hosts))
			t.Logf("%d domains of %d hosts: mean %d bytes/s per host, maximum %d", c.domains, c.hosts, mean, most)
			require.Less(t, most, int64(5000), "the budget for all control traffic of a host is 5 KB/s")
		})
	}
}

// BenchmarkHeartbeat measures one exchange, and the bytes per second of one host, by number of hosts in the domain.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			ms := benchMembers(hosts)
			ctx := context.Background()
			var size int
			for b.Loop() {
				h := ms[0].newHeartbeat(ms[1].self.Addr)
				var r wire.HeartbeatReply
				if err := ms[1].Heartbeat(ctx, h, &r); err != nil {
					b.Fatal(err)
				}
				ms[0].recordHeartbeat(r.GetFrom(), Ownership{}, ms[1].self.Addr)
				size = proto.Size(h) + proto.Size(&r)
			}
			perSecond := float64(time.Second) / float64(defaultInterval) * float64(hosts-1)
			b.ReportMetric(float64(size)*perSecond, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*perSecond/1e4, "%core")
		})
	}
}

// BenchmarkDigest measures one exchange between two failure domains, by number of hosts in each.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			ms := benchMembers(hosts)
			far := New(WithSelf("far", "south", netip.MustParseAddrPort("10.9.0.1:1")))
			ctx := context.Background()
			var size int
			for b.Loop() {
				d := ms[0].newDigest("south")
				var r wire.DigestReply
				if err := far.Digest(ctx, d, &r); err != nil {
					b.Fatal(err)
				}
				ms[0].recordDigest(r.GetDigest(), true)
				size = proto.Size(d) + proto.Size(&r)
			}
			b.ReportMetric(float64(size), "bytes/exchange")
		})
	}
}

// BenchmarkDomains measures the digests that one of three hosts handles in two seconds, by number of failure domains: those
// that it exchanges itself and those that its peers relay.
func BenchmarkDomains(b *testing.B) {
	for _, domains := range []int{3, 11, 33} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			ms := benchMembers(3)
			var far []*Members
			for d := range domains - 1 {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(d), 1}), 4000)
				m := New(WithSelf(fmt.Sprintf("far-%02d-host-0", d), fmt.Sprintf("far-%02d", d), a))
				m.SetState(Ready)
				far = append(far, m)
			}
			ctx := context.Background()
			var size int
			for b.Loop() {
				for i, f := range far {
					d := ms[i%3].newDigest(f.self.Domain)
					var r wire.DigestReply
					if err := f.Digest(ctx, d, &r); err != nil {
						b.Fatal(err)
					}
					ms[i%3].recordDigest(r.GetDigest(), true)
					if i%3 == 0 {
						size += proto.Size(d) + proto.Size(&r)
					}
				}
				size += relayed(ms[0], ms[1]) + relayed(ms[0], ms[2]) + relayed(ms[1], ms[0]) + relayed(ms[2], ms[0])
			}
			seconds := float64(b.N) * defaultDigestInterval.Seconds()
			b.ReportMetric(float64(size)/seconds, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/3/seconds/1e4, "%core")
		})
	}
}

// relayed relays the digests that one host holds to another and returns their size in bytes.
func relayed(from, to *Members) int {
	size := 0
	for {
		from.mu.Lock()
		ds := from.digestsFor(from.peers[to.self.Name])
		from.mu.Unlock()
		for _, d := range ds {
			size += proto.Size(d)
		}
		to.recordRelayedDigests(ds)
		if len(ds) < maxRelayedDigests {
			return size
		}
	}
}

func benchMembers(n int) []*Members {
	var ms []*Members
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4000)
		m := New(WithSelf(fmt.Sprintf("north-host-%d", i), "north", a), WithClock(clock.System()))
		m.SetState(Ready)
		ms = append(ms, m)
	}
	for _, m := range ms {
		for _, o := range ms {
			m.recordHeartbeat(wireMember(o.Self(), true), Ownership{}, o.self.Addr)
			m.setKnowsSelf(o.self.Addr, true)
		}
	}
	return ms
}
