package member

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

func TestMembersDigestsReachEveryHost(t *testing.T) {
	run(t, func(b *testBed) {
		var offset atomic.Uint64
		offset.Store(7)
		for _, d := range []string{"a", "b", "c"} {
			for i := range 3 {
				// The first host of each domain is its owner; only the owner knows the load.
				free := int32(1)
				if i == 0 {
					free = 40
				}
				o := Ownership{Term: fleet.Term{Counter: 1, Host: d + "0"}, IsOwner: i == 0}
				b.start(fmt.Sprintf("%s%d", d, i), d, WithConfigOffset(offset.Load),
					WithOwnership(func() Ownership { return o }),
					WithSummary(func(w *wire.Digest) { w.FreeAccelerators = free }))
			}
		}
		b.sleep(10 * time.Second)
		for _, h := range b.hosts {
			for _, d := range []string{"a", "b", "c"} {
				require.Equal(t, []string{d + "0", d + "1", d + "2"}, h.names(d), "hosts known to %s in %s", h.self.Name, d)
			}
			for _, v := range h.FindDomains() {
				require.Equal(t, 40, v.FreeAccelerators)
				require.Equal(t, uint64(7), v.ConfigOffset)
			}
		}
		b.kill(b.hosts[0])
		offset.Store(8)
		b.sleep(9 * time.Second)
		for _, h := range b.hosts[3:] {
			require.Equal(t, []string{"a1", "a2"}, h.names("a"))
			require.Equal(t, uint64(8), h.FindDomains()[0].ConfigOffset, "known to every host within 9 s")
		}
	})
}

func TestMembersAnnounceReachesOtherDomains(t *testing.T) {
	run(t, func(b *testBed) {
		var term atomic.Uint64
		term.Store(1)
		owner := WithOwnership(func() Ownership {
			return Ownership{Term: fleet.Term{Counter: term.Load(), Host: "x"}}
		})
		rareDigests := WithDigestInterval(time.Minute)
		x := b.start("x", "north", owner, rareDigests)
		b.start("y", "north", owner, rareDigests)
		s, u := b.start("s", "south", rareDigests), b.start("u", "south", rareDigests)
		b.sleep(150 * time.Second)
		term.Store(2)
		x.Announce(b.ctx)
		b.sleep(400 * time.Millisecond)
		for _, h := range []*host{s, u} {
			require.Equal(t, uint64(2), h.FindDomains()[0].Term.Counter, "%s knows the new owner within 0.4 s", h.self.Name)
		}
	})
}
