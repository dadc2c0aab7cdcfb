package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

func TestMembersJoinerLearnsFromPeersWhilePlatformIsDown(t *testing.T) {
	run(t, func(b *testBed) {
		x := b.start("x", "north")
		s := b.start("s", "south")
		b.list.Store(&port.Listing{
			Hosts: []port.Host{
				{Name: "x", Domain: "north", Addr: x.addr},
				{Name: "s", Domain: "south", Addr: s.addr},
			},
			Workers: append(workers("north", 480), workers("south", 10)...),
		})
		b.sleep(6 * time.Second)
		b.list.Store(nil)
		h := &host{addr: b.addr()}
		j := b.run(h, "j", "north", []Option{WithSeeds(x.addr)})
		b.sleep(2 * time.Second)
		require.Equal(t, []string{"j", "x"}, j.names("north"))
		require.Len(t, j.Workers(), 480)
		t.Logf("traffic of the joining host in its first 2 s: %d bytes", b.net.Bytes(j.addr))
		require.Equal(t, []string{"s"}, j.names("south"))
		k := &host{addr: b.addr()}
		o := b.run(k, "o", "south", []Option{WithSeeds(s.addr)})
		b.sleep(4 * time.Second)
		require.Len(t, o.Workers(), 10)
		require.Equal(t, []string{"j", "x"}, o.names("north"), "known from a digest")
	})
}

func TestMembersFrozenListDoesNotHideHosts(t *testing.T) {
	runWithMutation(t, "treats the list as a hint", "trusts the list", func(t *testing.T, b *testBed, mutate bool) {
		x := b.start("x", "north", func(m *Members) { m.trustsList = mutate })
		y := b.start("y", "north")
		b.list.Store(&port.Listing{Hosts: []port.Host{
			{Name: "x", Domain: "north", Addr: x.addr},
			{Name: "y", Domain: "north", Addr: y.addr},
		}})
		b.sleep(10 * time.Second)
		b.kill(y)
		z := b.start("z", "north")
		b.sleep(30 * time.Second)
		seen := 0
		for range 20 {
			b.sleep(50 * time.Millisecond)
			if fmt.Sprint(x.names("north")) == "[x z]" {
				seen++
			}
		}
		if mutate {
			x.fetchListing(b.ctx)
			require.NotEqual(t, []string{"x", "z"}, x.names("north"), "the outdated list hides z and still names y")
			return
		}
		require.Equal(t, 20, seen)
		require.Equal(t, []string{"x", "z"}, z.names("north"))
	})
}

func TestMembersListingOfRemoteDomainKeepsLocalWorkers(t *testing.T) {
	east := New(WithSelf("east-1", "east", netip.MustParseAddrPort("10.0.0.1:1")))
	east.applyListing(port.Listing{Workers: []fleet.Worker{{Name: "w1", Domain: "east"}}}, east.clock.Now())
	west := New(WithSelf("west-1", "west", netip.MustParseAddrPort("10.0.0.2:1")))
	west.applyListing(port.Listing{
		Hosts:   []port.Host{{Name: "west-2", Domain: "west", Addr: netip.MustParseAddrPort("10.0.0.3:1")}},
		Workers: []fleet.Worker{{Name: "w1", Domain: "east"}, {Name: "w2", Domain: "west"}},
	}, west.clock.Now())

	l := west.newWireListing(0)
	l.AgeMillis = 0
	east.recordListing(l)
	require.Equal(t, []fleet.Worker{{Name: "w1", Domain: "east"}}, east.Workers())
	_, ok := east.FindAddr("west-2")
	require.True(t, ok)
}
