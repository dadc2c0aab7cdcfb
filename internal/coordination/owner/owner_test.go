package owner

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// maxTakeover is the share of the 3.6 s start bound of urgent work that a change of owner may use.
const maxTakeover = 1700 * time.Millisecond

func TestOwnerIsClaimedOnce(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(4) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		require.Equal(t, []string{"host-0"}, c.owners())
		for _, h := range c.hosts {
			term, addr, isAlive := h.owner.Current()
			require.Equal(t, fleet.Term{Counter: 1, Host: "host-0"}, term)
			require.Equal(t, c.hosts[0].addr, addr)
			require.True(t, isAlive)
		}
		c.sleep(5 * time.Minute)
		require.Equal(t, []string{"host-0"}, c.owners())
		require.Len(t, c.hosts[0].gained, 1)
	})
}

func TestOwnerKilledIsReplacedInTime(t *testing.T) {
	faults := map[string]func(*nettest.Log){
		"log up":           func(*nettest.Log) {},
		"log down":         func(l *nettest.Log) { l.SetDown(true) },
		"log unresponsive": func(l *nettest.Log) { l.SetBlocked(true) },
		"log slow":         func(l *nettest.Log) { l.SetSlow(3 * time.Second) },
		"answer lost":      func(l *nettest.Log) { l.SetLossy(true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range 24 {
				run(t, func(c *cluster) {
					c.net.Delay = func(from, to netip.AddrPort) time.Duration {
						n := int(from.Addr().As4()[3])*31 + int(to.Addr().As4()[3])*17 + seed*13
						return time.Duration(n%40) * time.Millisecond
					}
					for _, n := range hostNames(4) {
						c.start(n)
					}
					c.sleep(3*time.Second + time.Duration(seed*37)*time.Millisecond)
					fault(c.log)
					c.sleep(time.Duration(seed*11) * time.Millisecond)
					old := c.hosts[0].owner.Term()
					require.False(t, old.IsZero())
					start := time.Now()
					c.kill(c.hosts[0])
					c.sleep(4 * time.Second)
					took := c.takeoverTime(old, start)
					worst = max(worst, took)
					require.LessOrEqual(t, took, maxTakeover, "seed %d", seed)
					require.Len(t, c.owners(), 1, "seed %d", seed)
				})
			}
			t.Logf("%s: the next owner commands a worker after %s at most", name, worst)
		})
	}
}

func TestOwnerAndNextInRankKilled(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(4) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		c.log.SetDown(true)
		old, start := c.hosts[0].owner.Term(), time.Now()
		c.kill(c.hosts[0])
		c.kill(c.hosts[0])
		c.sleep(4 * time.Second)
		took := c.takeoverTime(old, start)
		t.Logf("with the next in rank dead too, takeover after %s", took)
		require.LessOrEqual(t, took, 2600*time.Millisecond)
		require.Equal(t, []string{"host-2"}, c.owners())
	})
}

func TestOwnerPausedActsOnNothing(t *testing.T) {
	for name, mutate := range map[string]bool{"lease": false, "without lease": true} {
		for _, hosts := range []int{1, 2, 4} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				run(t, func(c *cluster) {
					c.net.Delay = func(netip.AddrPort, netip.AddrPort) time.Duration { return 5 * time.Millisecond }
					for _, n := range hostNames(hosts) {
						c.start(n, func(o *Owner) { o.skipsLease = mutate })
					}
					c.sleep(3 * time.Second)
					h := c.hosts[0]
					old := h.owner.Term()
					require.NoError(t, h.owner.Check())
					h.pause.Stop()
					c.sleep(30 * time.Second)
					if mutate {
						require.NoError(t, h.owner.Check(), "without the lease the paused owner may act")
						h.pause.Resume()
						return
					}
					require.ErrorIs(t, h.owner.Check(), ErrNotOwner)
					woke := time.Now()
					h.pause.Resume()
					c.sleep(5 * time.Second)
					late := 0
					for _, a := range c.commandsSince(woke) {
						if a.term == old && a.at.Before(woke.Add(500*time.Millisecond)) {
							late++
						}
					}
					require.Zero(t, late, "a resumed owner sends no stale commands")
					require.Len(t, c.owners(), 1)
					if hosts > 1 {
						require.Equal(t, []fleet.Term{old}, h.lost)
					}
				})
			})
		}
	}
}

func TestOwnerPausedAfterItsCheckIsFenced(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(3) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		h := c.hosts[0]
		old := h.owner.Term()
		require.NoError(t, h.owner.Check())
		h.pause.Stop()
		c.sleep(30 * time.Second)
		require.ErrorIs(t, c.sendCommand(h, old), errFenced, "the check passed before the pause, the worker refuses")
	})
}

func TestOwnersConvergeAfterPartition(t *testing.T) {
	runBoth(t, "terms", "keeps its term", func(t *testing.T, c *cluster, mutate bool) {
		for _, n := range hostNames(4) {
			c.start(n, func(o *Owner) { o.keepsLowerTerm = mutate })
		}
		c.sleep(3 * time.Second)
		c.log.SetDown(true)
		c.hosts[2].worker.Store(1)
		c.hosts[3].worker.Store(1)
		c.setPartition(true)
		c.sleep(5 * time.Minute)
		require.Equal(t, []string{"host-0", "host-2"}, c.owners(), "each side serves")
		c.setPartition(false)
		c.sleep(5 * time.Second)
		if mutate {
			require.Empty(t, c.hosts[0].lost, "without the order of terms the lower one stays")
			require.False(t, c.hosts[0].owner.Term().IsZero())
			return
		}
		require.Equal(t, []string{"host-2"}, c.owners(), "the higher term stays")
		require.Len(t, c.hosts[0].lost, 1)
		c.log.SetDown(false)
		c.sleep(time.Minute)
		require.Equal(t, []string{"host-2"}, c.owners())
		last := c.hosts[2].owner.Term()
		for _, h := range c.hosts {
			require.Equal(t, last, h.owner.highestLoggedTerm, "the claim by rank reached the log")
		}
	})
}

func TestRivalOwnersBackOff(t *testing.T) {
	runBoth(t, "waits longer", "forgets rivals", func(t *testing.T, c *cluster, mutate bool) {
		for _, n := range hostNames(4) {
			c.start(n, func(o *Owner) { o.ignoresRivals = mutate })
		}
		c.sleep(3 * time.Second)
		c.log.SetDown(true)
		c.setPartition(true)
		c.sleep(10 * time.Minute)
		changes := 0
		for _, h := range c.hosts {
			changes += len(h.gained)
		}
		t.Logf("%d changes of the owner in ten minutes", changes)
		if mutate {
			require.Greater(t, changes, 200)
			return
		}
		require.Less(t, changes, 30)
		c.setPartition(false)
		c.sleep(5 * time.Second)
		require.Len(t, c.owners(), 1)
	})
}

func TestOwnerFirstClaimOfACounterWins(t *testing.T) {
	runBoth(t, "offset order", "ignores the order", func(t *testing.T, c *cluster, mutate bool) {
		c.lateHost = "y"
		c.log.SetSlow(50 * time.Millisecond)
		x := c.start("x", func(o *Owner) { o.ignoresLogOrder = mutate })
		y := c.start("y", func(o *Owner) { o.ignoresLogOrder = mutate })
		c.net.SetCut(x.addr, y.addr, true)
		c.sleep(1600 * time.Millisecond)
		gained := len(x.gained) + len(y.gained)
		if mutate {
			require.Equal(t, 2, gained, "both claims of one counter count")
			return
		}
		require.Equal(t, 1, gained, "hosts that hear nothing of each other agree through the log")
	})
}

func TestOwnerHeardByOthersIsNotReplaced(t *testing.T) {
	runBoth(t, "asks others", "trusts itself", func(t *testing.T, c *cluster, mutate bool) {
		for _, n := range hostNames(3) {
			c.start(n, func(o *Owner) { o.ignoresPeerReports = mutate })
		}
		c.sleep(3 * time.Second)
		c.net.SetCut(c.hosts[0].addr, c.hosts[1].addr, true)
		c.sleep(time.Minute)
		if mutate {
			require.NotEqual(t, []string{"host-0"}, c.owners())
			return
		}
		require.Equal(t, []string{"host-0"}, c.owners())
		require.Equal(t, fleet.Term{Counter: 1, Host: "host-0"}, c.hosts[0].owner.Term())
	})
}

func TestOwnerHelpersRenewOnlyForALiveOwner(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(3) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		helper := c.hosts[2]
		old, isAlive := helper.owner.LeaseTerm()
		require.True(t, isAlive)
		require.Equal(t, c.hosts[0].owner.Term(), old)
		c.kill(c.hosts[0])
		c.sleep(950 * time.Millisecond)
		term, isAlive := helper.owner.LeaseTerm()
		require.False(t, isAlive && term == old, "no renewals for an unresponsive owner")
		c.sleep(time.Second)
		term, isAlive = helper.owner.LeaseTerm()
		require.True(t, isAlive)
		require.Equal(t, "host-1", term.Host)
		helper.pause.Stop()
		c.sleep(10 * time.Second)
		_, isAlive = helper.owner.LeaseTerm()
		require.False(t, isAlive, "a resumed host renews nothing before it hears from the owner")
	})
}

func TestOwnerLeavingHandsOver(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(3) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		start := time.Now()
		old := c.hosts[0].owner.Term()
		c.hosts[0].members.Leave(c.ctx)
		c.sleep(time.Second)
		require.Equal(t, []string{"host-1"}, c.owners())
		t.Logf("handed over after %s", c.takeoverTime(old, start))
		require.Equal(t, []fleet.Term{old}, c.hosts[0].lost)
		c.hosts[1].members.Leave(c.ctx)
		c.hosts[2].members.Leave(c.ctx)
		c.sleep(time.Minute)
		require.Equal(t, []string{"host-1"}, c.owners(), "without a successor the owner continues")
	})
}

func TestOwnerDoesNotCallItsOwnClaimVacant(t *testing.T) {
	var said member.Ownership
	var o *Owner
	o = New(WithSelf("a", "north"),
		WithMembers(func() member.Member { return member.Member{Name: "a", State: member.Ready} },
			func() []member.Member { return nil }),
		WithLog(func(_ context.Context, r *wire.Record) (uint64, error) {
			o.Fold(1, time.Time{}, r)
			said = o.Ownership()
			return 1, nil
		}, nil, func() bool { return true }))
	o.claim(t.Context())
	require.NoError(t, o.Check())
	require.Zero(t, said, "a peer would take it for an owner that does not act")
	require.Equal(t, member.Ownership{Term: fleet.Term{Counter: 1, Host: "a"}, IsOwner: true},
		member.Ownership{Term: o.Ownership().Term, IsOwner: o.Ownership().IsOwner})
}

func TestOwnerJoiningHostDoesNotClaim(t *testing.T) {
	run(t, func(c *cluster) {
		x := c.start("a")
		x.members.SetState(member.Joining)
		c.sleep(time.Minute)
		require.Empty(t, c.owners())
		x.members.SetState(member.Ready)
		c.sleep(2 * time.Second)
		require.Equal(t, []string{"a"}, c.owners())
	})
}

func TestOwnerRestartedUnderTheSameName(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(3) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		old, start := c.hosts[0].owner.Term(), time.Now()
		c.kill(c.hosts[0])
		c.sleep(200 * time.Millisecond)
		h := c.start("host-0")
		h.members.SetState(member.Joining)
		c.sleep(3 * time.Second)
		require.LessOrEqual(t, c.takeoverTime(old, start), maxTakeover)
		require.Equal(t, []string{"host-1"}, c.owners(), "the claim of the previous process is void")
		h.members.SetState(member.Ready)
		c.sleep(time.Minute)
		require.Equal(t, []string{"host-1"}, c.owners())
	})
}

func TestOwnerThatAWorkerFencesTakesAHigherTerm(t *testing.T) {
	run(t, func(c *cluster) {
		c.workers[0] = fleet.Term{Counter: 41, Host: "gone"}
		h := c.start("a")
		c.sleep(5 * time.Second)
		require.Equal(t, fleet.Term{Counter: 42, Host: "a"}, h.owner.Term())
		require.Equal(t, h.owner.Term(), c.highestTerm(c.hosts[0]))
	})
}

func TestOwnersAllHostsReplacedWhileLogIsDown(t *testing.T) {
	run(t, func(c *cluster) {
		for _, n := range hostNames(4) {
			c.start(n)
		}
		c.sleep(3 * time.Second)
		c.log.SetDown(true)
		c.sleep(time.Second)
		for i, n := range []string{"new-0", "new-1", "new-2", "new-3"} {
			start := time.Now()
			old := c.highestTerm(c.hosts[0])
			h := c.hosts[0]
			isOwner := h.owner.Check() == nil
			c.start(n)
			c.kill(h)
			c.sleep(7 * time.Second)
			require.Len(t, c.owners(), 1, "replacement %d", i)
			if isOwner {
				require.LessOrEqual(t, c.takeoverTime(old, start), maxTakeover)
			}
		}
		c.log.SetDown(false)
		c.sleep(time.Minute)
		require.Len(t, c.owners(), 1)
		for _, h := range c.hosts {
			require.Equal(t, c.highestTerm(c.hosts[0]), h.owner.highestTerm)
		}
	})
}

func TestOwnerClaimIsWrittenAgainBeforeItExpires(t *testing.T) {
	run(t, func(c *cluster) {
		h := c.start("a", func(o *Owner) { o.refreshInterval = time.Minute })
		c.sleep(3 * time.Second)
		first := c.log.Next()
		c.sleep(3*time.Minute + time.Second)
		require.Equal(t, first+3, c.log.Next())
		c.log.Expire(first + 2)
		c.kill(h)
		k := c.start("b")
		c.sleep(10 * time.Second)
		require.Equal(t, fleet.Term{Counter: 2, Host: "b"}, k.owner.Term(), "the counter survives the log's retention")
	})
}

func TestOwnerAlternatesUnderRandomPauses(t *testing.T) {
	for seed := range 24 {
		run(t, func(c *cluster) {
			c.net.Delay = func(from, to netip.AddrPort) time.Duration {
				return time.Duration((int(from.Addr().As4()[3])+seed)*(int(to.Addr().As4()[3])+3)%60) * time.Millisecond
			}
			for _, n := range hostNames(4) {
				c.start(n)
			}
			c.sleep(3 * time.Second)
			for i := range 8 {
				h := c.hosts[(seed*5+i*i)%4]
				c.log.SetDown((seed+i)%3 == 0)
				h.pause.Stop()
				c.sleep(time.Duration(700+(seed*331+i*977)%4000) * time.Millisecond)
				h.pause.Resume()
				c.sleep(time.Duration((seed*127+i*613)%2500) * time.Millisecond)
			}
			c.log.SetDown(false)
			c.sleep(30 * time.Second)
			require.Len(t, c.owners(), 1, "seed %d", seed)
			var last fleet.Term
			for _, a := range c.commandsSince(time.Time{}) {
				if !a.isFenced {
					require.False(t, a.term.Less(last), "seed %d: the worker obeyed %s after %s", seed, a.term, last)
					last = a.term
				}
			}
		})
	}
}
