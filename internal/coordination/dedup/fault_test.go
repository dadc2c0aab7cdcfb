package dedup

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

func outcome(id string, k fleet.OutcomeKind) *wire.Outcome {
	return &wire.Outcome{Job: id, Attempt: 1, Kind: string(k)}
}

// requireMechanism runs a scenario, which returns the number of granted claims of one key, with every seed. With all mechanisms
// enabled, each seed must grant at most one claim; with the given mechanisms disabled, at least one seed must grant more.
func requireMechanism(t *testing.T, off disabledMechanisms, scenario func(t *testing.T, seed uint64, off disabledMechanisms) int) {
	twice := 0
	for s := range uint64(seeds) {
		require.LessOrEqual(t, scenario(t, s, disabledMechanisms{}), 1, "seed %d: the key ran twice", s)
		if scenario(t, s, off) > 1 {
			twice++
		}
	}
	require.NotZero(t, twice, "the test does not detect that the mechanism is disabled")
	t.Logf("without the mechanism the key ran twice in %d of %d seeds", twice, seeds)
}

func countGranted(errs ...error) int {
	n := 0
	for _, err := range errs {
		if err == nil {
			n++
		}
	}
	return n
}

func TestPausedOwnerClaimsNothing(t *testing.T) {
	// Two hosts take themselves for the owner and the log is down for both: the older owner must not claim the same key.
	requireMechanism(t, disabledMechanisms{peers: true, quorum: true, completeness: true},
		func(t *testing.T, seed uint64, off disabledMechanisms) int {
			n := 0
			inCluster(t, seed, off, func(c *fakeCluster, a, b, _ *fakeHost) {
				c.setLog(false)
				time.Sleep(20 * time.Second)
				b.own(2)
				n = countGranted(b.claim("j1", "k"), a.claim("j2", "k"))
			})
			return n
		})
}

func TestOlderTermIsFencedByThePeers(t *testing.T) {
	claim := func(off disabledMechanisms) (err error) {
		inCluster(t, 1, off, func(_ *fakeCluster, a, b, _ *fakeHost) {
			b.own(2)
			require.NoError(t, b.claim("j1", "k1"))
			err = a.claim("j2", "k2")
		})
		return err
	}
	require.ErrorIs(t, claim(disabledMechanisms{}), port.ErrFenced)
	require.NoError(t, claim(disabledMechanisms{terms: true}), "the test does not detect that terms are ignored")
}

func TestFirstClaimInTheLogWins(t *testing.T) {
	// Two owners that cannot reach each other claim the same key while both reach the log.
	requireMechanism(t, disabledMechanisms{readBack: true}, func(t *testing.T, seed uint64, off disabledMechanisms) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, off)
			defer c.stop()
			a, b := c.start("h1"), c.start("h2")
			a.own(1)
			time.Sleep(5 * time.Second)
			c.setCut(func(string, string) bool { return true })
			b.own(2)
			var first, second error
			done := make(chan struct{})
			go func() {
				defer close(done)
				first = a.claim("j1", "k")
			}()
			second = b.claim("j2", "k")
			<-done
			n = countGranted(first, second)
			if !off.readBack {
				require.Equal(t, 1, n, "one of the claims is granted")
			}
		})
		return n
	})
}

func TestOwnersOnBothSidesOfTheLogDoNotClaimTwice(t *testing.T) {
	// The old owner reaches the log but not its peers; the peers elect another owner, which does not reach the log.
	requireMechanism(t, disabledMechanisms{quorum: true}, func(t *testing.T, seed uint64, off disabledMechanisms) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, b, d *fakeHost) {
			c.setCut(func(x, y string) bool { return x == "h1" || y == "h1" })
			b.setLog(false)
			d.setLog(false)
			time.Sleep(20 * time.Second)
			b.own(2)
			n = countGranted(b.claim("j1", "k"), a.claim("j2", "k"))
			if !off.quorum {
				require.Equal(t, 1, n, "the side with two hosts is granted the claim")
			}
		})
		return n
	})
}

func TestMarkerKeepsOffLogClaimsFromNewHosts(t *testing.T) {
	// A key is claimed during a short outage of the log, then all hosts are lost and new ones read the log.
	requireMechanism(t, disabledMechanisms{marker: true}, func(t *testing.T, seed uint64, off disabledMechanisms) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, _, _ *fakeHost) {
			c.setLog(false)
			first := a.claim("j1", "k")
			if !off.marker {
				require.True(t, isMissing(first))
			}
			c.stop()
			c.logDown = false
			x := c.start("h4")
			c.start("h5")
			x.own(5)
			time.Sleep(time.Second)
			n = countGranted(first, x.claim("j2", "k"))
		}, WithFreshGroups())
		return n
	})
}

func TestMissingClaimsRefuseWorkUntilCleared(t *testing.T) {
	// During an outage longer than the marker's validity a claim is stored outside the log, then all hosts are lost.
	scenario := func(t *testing.T, seed uint64, off disabledMechanisms) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, _, _ *fakeHost) {
			c.setLog(false)
			time.Sleep(20 * time.Second)
			first := a.claim("j1", "k")
			require.NoError(t, first)
			c.stop()
			c.logDown = false
			x, y := c.start("h4"), c.start("h5")
			x.own(5)
			time.Sleep(time.Second)
			second := x.claim("j2", "k")
			n = countGranted(first, second)
			if off.completeness {
				return
			}
			require.True(t, isMissing(second))
			require.False(t, x.ledger.IsComplete())
			c.log.add(&wire.Record{Id: "clear", Body: &wire.Record_Marker{Marker: &wire.OnceMarker{Domain: "north-quay", Cleared: true}}})
			time.Sleep(time.Second)
			require.NoError(t, x.claim("j3", "other"))
			require.True(t, y.ledger.IsComplete())
		})
		return n
	}
	requireMechanism(t, disabledMechanisms{completeness: true, quorum: true}, scenario)
}

func TestMissingClaimsEndWithTheLifetime(t *testing.T) {
	bounds := DefaultBounds()
	bounds.Lifetime = time.Hour
	inCluster(t, 1, disabledMechanisms{}, func(c *fakeCluster, a, _, _ *fakeHost) {
		require.NoError(t, a.claim("j0", "old"))
		c.stop()
		time.Sleep(time.Minute)
		x := c.start("h4")
		x.own(5)
		time.Sleep(time.Second)
		require.True(t, isMissing(x.claim("j1", "k")))
		time.Sleep(bounds.Lifetime + time.Minute)
		require.NoError(t, x.claim("j1", "k"))
		var claimed ErrClaimed
		require.ErrorAs(t, x.claim("j2", "old"), &claimed)
	}, WithBounds(bounds))
}

func TestAllHostsRestartAtOnceWhileTheMarkerHolds(t *testing.T) {
	for s := range uint64(seeds) {
		for names, opts := range map[[2]string][]Option{
			{"h1", "h2"}: nil,
			{"h4", "h5"}: {WithFreshGroups()},
		} {
			inCluster(t, s, disabledMechanisms{}, func(c *fakeCluster, a, _, _ *fakeHost) {
				require.NoError(t, a.claim("j1", "k"))
				require.NoError(t, a.done("j1", "k"))
				time.Sleep(2 * time.Second)
				c.stop()
				x := c.start(names[0])
				c.start(names[1])
				x.own(5)
				require.NoError(t, x.claim("j2", "other"), "names %v seed %d", names, s)
				var claimed ErrClaimed
				require.ErrorAs(t, x.claim("j3", "k"), &claimed)
				require.Equal(t, "tag 17 issued", string(claimed.Outcome.GetAnswer()))
			}, opts...)
		}
	}
}

func TestHostsAreReplacedOneByOne(t *testing.T) {
	for _, c := range []struct {
		name  string
		log   bool
		names []string
	}{
		{"log up, new names", true, []string{"h4", "h5", "h6"}},
		{"log up, old names", true, []string{"h1", "h2", "h3"}},
		{"log down, old names", false, []string{"h1", "h2", "h3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := range uint64(seeds) {
				replaceAll(t, s, c.log, c.names)
			}
		})
	}
}

func replaceAll(t *testing.T, seed uint64, logUp bool, names []string) {
	inCluster(t, seed, disabledMechanisms{}, func(c *fakeCluster, a, b, d *fakeHost) {
		c.setLog(logUp)
		time.Sleep(20 * time.Second)
		require.NoError(t, a.claim("j1", "k"))
		require.NoError(t, a.done("j1", "k"))
		old := []*fakeHost{a, b, d}
		for i, n := range names {
			old[i].stop()
			h := c.start(n)
			h.own(uint64(2 + i))
			for range 8 {
				time.Sleep(time.Second)
				h.ledger.Tick(c.t.Context())
			}
			require.NoError(t, h.claim(fmt.Sprintf("j%d", 10+i), fmt.Sprintf("k%d", i)), "host %s", n)
			var claimed ErrClaimed
			require.ErrorAs(t, h.claim("j3", "k"), &claimed)
			require.Equal(t, "tag 17 issued", string(claimed.Outcome.GetAnswer()))
		}
	})
}

func TestLogOutage(t *testing.T) {
	inCluster(t, 3, disabledMechanisms{}, func(c *fakeCluster, a, b, _ *fakeHost) {
		c.setLog(false)
		require.True(t, isMissing(a.claim("j1", "k")), "the marker is still valid")
		time.Sleep(17 * time.Second)
		n := c.log.count()
		for i := range 40 {
			require.NoError(t, a.claim(fmt.Sprintf("j%d", i), fmt.Sprintf("k%d", i)))
			require.NoError(t, a.done(fmt.Sprintf("j%d", i), fmt.Sprintf("k%d", i)))
		}
		time.Sleep(time.Hour)
		require.Equal(t, n, c.log.count())
		c.setLog(true)
		time.Sleep(5 * time.Second)
		require.LessOrEqual(t, c.log.count()-n, 6*(DefaultBounds().Rate+2), "the backlog is written at a bounded rate")
		time.Sleep(time.Minute)
		a.stop()
		b.stop()
		x := c.start("h9")
		y, ok := x.ledger.Find("authority", "k39")
		require.True(t, ok)
		require.Equal(t, "tag 17 issued", string(y.Outcome.GetAnswer()))
	})
}

func TestClaimsAreRewrittenBeforeTheLogDropsThem(t *testing.T) {
	run := func(rate int) bool {
		x := DefaultBounds()
		x.Rate = rate
		x.Retention = time.Hour
		x.Validity = 5 * time.Minute
		known := false
		inCluster(t, 3, disabledMechanisms{}, func(c *fakeCluster, a, _, _ *fakeHost) {
			c.log.retain(x.Retention)
			require.NoError(t, a.claim("j1", "k"))
			require.NoError(t, a.done("j1", "k"))
			time.Sleep(3 * time.Hour)
			c.stop()
			y := c.start("h4")
			_, known = y.ledger.Find("authority", "k")
			require.True(t, y.ledger.IsComplete() || rate == 0)
		}, WithBounds(x))
		return known
	}
	require.True(t, run(5))
	require.False(t, run(0), "the test does not detect that nothing is rewritten")
}

func TestFrozenPeerDelaysClaimsByOneCallOnly(t *testing.T) {
	inCluster(t, 3, disabledMechanisms{}, func(c *fakeCluster, a, _, _ *fakeHost) {
		c.mu.Lock()
		n := 0
		c.lose = func(string) bool {
			n++
			return n%2 == 0
		}
		c.mu.Unlock()
		began := time.Now()
		require.NoError(t, a.claim("j1", "k"))
		require.LessOrEqual(t, time.Since(began), DefaultBounds().Call+100*time.Millisecond)
	})
}
