package once

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

// caught runs a scenario that counts starts of one key over all seeds: at most one each with the mechanism, more without.
func caught(t *testing.T, off mechanismsOff, scenario func(t *testing.T, seed uint64, off mechanismsOff) int) {
	twice := 0
	for s := range uint64(seeds) {
		require.LessOrEqual(t, scenario(t, s, mechanismsOff{}), 1, "seed %d: the key ran twice", s)
		if scenario(t, s, off) > 1 {
			twice++
		}
	}
	require.NotZero(t, twice, "the proof does not see that the mechanism is off")
	t.Logf("without the mechanism the key ran twice in %d of %d seeds", twice, seeds)
}

func granted(errs ...error) int {
	n := 0
	for _, err := range errs {
		if err == nil {
			n++
		}
	}
	return n
}

func TestPausedOwnerClaimsNothing(t *testing.T) {
	// Two owners at once, the log is down for both: the older one must not claim what the newer one claims.
	caught(t, mechanismsOff{peers: true, group: true, memory: true}, func(t *testing.T, seed uint64, off mechanismsOff) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, b, _ *fakeHost) {
			c.setLog(false)
			time.Sleep(20 * time.Second)
			b.own(2)
			n = granted(b.claim("j1", "k"), a.claim("j2", "k"))
		})
		return n
	})
}

func TestOlderTermIsFencedByThePeers(t *testing.T) {
	claim := func(off mechanismsOff) (err error) {
		inCluster(t, 1, off, func(_ *fakeCluster, a, b, _ *fakeHost) {
			b.own(2)
			require.NoError(t, b.claim("j1", "k1"))
			err = a.claim("j2", "k2")
		})
		return err
	}
	require.ErrorIs(t, claim(mechanismsOff{}), port.ErrFenced)
	require.NoError(t, claim(mechanismsOff{terms: true}), "the proof does not see that terms are ignored")
}

func TestFirstClaimInTheLogWins(t *testing.T) {
	// Two hosts that cannot reach each other both reach the log.
	caught(t, mechanismsOff{readBack: true}, func(t *testing.T, seed uint64, off mechanismsOff) int {
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
			n = granted(first, second)
			if !off.readBack {
				require.Equal(t, 1, n, "one of them is served")
			}
		})
		return n
	})
}

func TestOwnersOnBothSidesOfTheLogDoNotClaimTwice(t *testing.T) {
	// The old owner keeps the log and loses its peers; they elect another, which has no log.
	caught(t, mechanismsOff{group: true}, func(t *testing.T, seed uint64, off mechanismsOff) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, b, d *fakeHost) {
			c.setCut(func(x, y string) bool { return x == "h1" || y == "h1" })
			b.setLog(false)
			d.setLog(false)
			time.Sleep(20 * time.Second)
			b.own(2)
			n = granted(b.claim("j1", "k"), a.claim("j2", "k"))
			if !off.group {
				require.Equal(t, 1, n, "the side with two hosts is served")
			}
		})
		return n
	})
}

func TestMarkerKeepsOffLogClaimsFromNewHosts(t *testing.T) {
	// The log is down for a moment, a claim is kept outside it, and all hosts are lost; new ones read the log.
	caught(t, mechanismsOff{marker: true}, func(t *testing.T, seed uint64, off mechanismsOff) int {
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
			n = granted(first, x.claim("j2", "k"))
		}, WithFreshGroups())
		return n
	})
}

func TestMissingMemoryRefusesUntilCleared(t *testing.T) {
	// As above, but the marker has lapsed, so that the claim outside the log was allowed.
	scenario := func(t *testing.T, seed uint64, off mechanismsOff) int {
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
			n = granted(first, second)
			if off.memory {
				return
			}
			require.True(t, isMissing(second))
			require.False(t, x.book.IsComplete())
			c.log.add(&wire.Record{Id: "clear", Body: &wire.Record_Marker{Marker: &wire.OnceMarker{Domain: "north-quay", Cleared: true}}})
			time.Sleep(time.Second)
			require.NoError(t, x.claim("j3", "other"))
			require.True(t, y.book.IsComplete())
		})
		return n
	}
	caught(t, mechanismsOff{memory: true, group: true}, scenario)
}

func TestMissingMemoryEndsWithTheLifetime(t *testing.T) {
	bounds := DefaultBounds()
	bounds.Lifetime = time.Hour
	inCluster(t, 1, mechanismsOff{}, func(c *fakeCluster, a, _, _ *fakeHost) {
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
			inCluster(t, s, mechanismsOff{}, func(c *fakeCluster, a, _, _ *fakeHost) {
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
	inCluster(t, seed, mechanismsOff{}, func(c *fakeCluster, a, b, d *fakeHost) {
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
				h.book.Tick(c.t.Context())
			}
			require.NoError(t, h.claim(fmt.Sprintf("j%d", 10+i), fmt.Sprintf("k%d", i)), "host %s", n)
			var claimed ErrClaimed
			require.ErrorAs(t, h.claim("j3", "k"), &claimed)
			require.Equal(t, "tag 17 issued", string(claimed.Outcome.GetAnswer()))
		}
	})
}

func TestLogOutage(t *testing.T) {
	inCluster(t, 3, mechanismsOff{}, func(c *fakeCluster, a, b, _ *fakeHost) {
		c.setLog(false)
		require.True(t, isMissing(a.claim("j1", "k")), "the marker still holds")
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
		y, ok := x.book.Find("authority", "k39")
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
		inCluster(t, 3, mechanismsOff{}, func(c *fakeCluster, a, _, _ *fakeHost) {
			c.log.retain(x.Retention)
			require.NoError(t, a.claim("j1", "k"))
			require.NoError(t, a.done("j1", "k"))
			time.Sleep(3 * time.Hour)
			c.stop()
			y := c.start("h4")
			_, known = y.book.Find("authority", "k")
			require.True(t, y.book.IsComplete() || rate == 0)
		}, WithBounds(x))
		return known
	}
	require.True(t, run(5))
	require.False(t, run(0), "the proof does not see that nothing is rewritten")
}

func TestFrozenPeerDelaysClaimsByOneCallOnly(t *testing.T) {
	inCluster(t, 3, mechanismsOff{}, func(c *fakeCluster, a, _, _ *fakeHost) {
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
