package dedup

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

// inCluster runs f with three hosts, of which the first owns the failure domain and has written its marker.
func inCluster(t *testing.T, seed uint64, off disabledMechanisms, f func(c *fakeCluster, a, b, d *fakeHost), opts ...Option) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, off, opts...)
		defer c.stop()
		a, b, d := c.start("h1"), c.start("h2"), c.start("h3")
		a.own(1)
		time.Sleep(5 * time.Second)
		f(c, a, b, d)
	})
}

func isMissing(err error) bool {
	var m ErrClaimsMissing
	return errors.As(err, &m)
}

// holdersOf claims a key and returns how many hosts and how many records of the log hold it as soon as Claim returns.
func holdersOf(t *testing.T, seed uint64, off disabledMechanisms) (hosts, records int) {
	inCluster(t, seed, off, func(c *fakeCluster, a, b, d *fakeHost) {
		// The other hosts do not read the log, so that they hold only what the owner sends them.
		b.setLog(false)
		d.setLog(false)
		require.NoError(t, a.claim("j1", "k"))
		for _, h := range []*fakeHost{a, b, d} {
			x, ok := h.ledger.Find("authority", "k")
			if ok {
				hosts++
				require.Equal(t, "j1", x.Job)
				require.Equal(t, []string{"w1", "w2"}, x.Workers)
			}
		}
		for _, r := range c.log.records {
			if r.rec.GetClaim() != nil {
				records++
			}
		}
	})
	return hosts, records
}

func TestClaimIsHeldByPeersAndLogBeforeItStarts(t *testing.T) {
	for s := range uint64(seeds) {
		hosts, records := holdersOf(t, s, disabledMechanisms{})
		require.Equal(t, 3, hosts)
		require.Equal(t, 1, records)
	}
	hosts, _ := holdersOf(t, 1, disabledMechanisms{peers: true, quorum: true, completeness: true})
	require.Less(t, hosts, 3, "the test does not detect that peers are left out")
}

func TestFailedOpenIsRetriedLater(t *testing.T) {
	inCluster(t, 1, disabledMechanisms{}, func(c *fakeCluster, _, b, _ *fakeHost) {
		c.setLog(false)
		c.setCut(func(string, string) bool { return true })
		began := time.Now()
		n := b.own(2)
		require.True(t, isMissing(b.ledger.Open(c.t.Context(), n)))
		took := time.Since(began)
		began = time.Now()
		for range 10 {
			require.True(t, isMissing(b.ledger.Open(c.t.Context(), n)))
		}
		require.Less(t, time.Since(began), took+time.Millisecond, "ten calls take no longer than one")
		c.setCut(func(string, string) bool { return false })
		time.Sleep(2 * openFailureTTL)
		require.NoError(t, b.ledger.Open(c.t.Context(), n))
	})
}

func TestRepeatGetsTheFirstAnswerAfterOwnerChanges(t *testing.T) {
	for s := range uint64(seeds) {
		inCluster(t, s, disabledMechanisms{}, func(_ *fakeCluster, a, b, d *fakeHost) {
			require.NoError(t, a.claim("j1", "k"))
			var claimed ErrClaimed
			require.ErrorAs(t, a.claim("j2", "k"), &claimed)
			require.Equal(t, "j1", claimed.Job)
			require.Nil(t, claimed.Outcome)
			require.NoError(t, a.done("j1", "k"))
			for i, h := range []*fakeHost{b, d, a} {
				h.own(uint64(2 + i))
				require.ErrorAs(t, h.claim("j3", "k"), &claimed)
				require.Equal(t, "tag 17 issued", string(claimed.Outcome.GetAnswer()))
			}
		})
	}
}

func TestKeyOfAnotherRequestIsConflict(t *testing.T) {
	inCluster(t, 1, disabledMechanisms{}, func(_ *fakeCluster, a, b, _ *fakeHost) {
		require.NoError(t, a.claim("j1", "k"))
		j := job("j2", "k")
		j.Work = []byte("tag 18")
		var conflict ErrKeyConflict
		require.ErrorAs(t, a.ledger.Claim(a.c.t.Context(), a.owns, j, nil), &conflict)
		require.Equal(t, "j1", conflict.Job)
		require.ErrorAs(t, b.ledger.Check(j), &conflict)
	})
}

func TestReleasedKeyIsFree(t *testing.T) {
	inCluster(t, 1, disabledMechanisms{}, func(_ *fakeCluster, a, b, _ *fakeHost) {
		require.NoError(t, a.claim("j1", "k"))
		require.NoError(t, a.ledger.Release(a.c.t.Context(), a.owns, job("j1", "k")))
		x, ok := b.ledger.Find("authority", "k")
		require.True(t, ok)
		require.True(t, x.Free)
		b.own(2)
		require.NoError(t, b.claim("j2", "k"))
		var claimed ErrClaimed
		require.ErrorAs(t, b.claim("j1", "k"), &claimed)
		require.Equal(t, "j2", claimed.Job)
		require.ErrorIs(t, b.ledger.Release(a.c.t.Context(), b.owns, job("j1", "k")), ErrNoClaim)
	})
}

func TestUnknownOutcomeGivesWayToCertainty(t *testing.T) {
	inCluster(t, 1, disabledMechanisms{}, func(_ *fakeCluster, a, b, _ *fakeHost) {
		require.NoError(t, a.claim("j1", "k"))
		j := job("j1", "k")
		require.NoError(t, a.ledger.PutOutcome(a.c.t.Context(), a.owns, j, outcome("j1", fleet.Unknown)))
		require.NoError(t, a.done("j1", "k"))
		require.NoError(t, a.ledger.PutOutcome(a.c.t.Context(), a.owns, j, outcome("j1", fleet.Refused)))
		x, _ := b.ledger.Find("authority", "k")
		require.Equal(t, string(fleet.Done), x.Outcome.GetKind())
	})
}

func TestLostAppendAnswer(t *testing.T) {
	for s := range uint64(seeds) {
		inCluster(t, s, disabledMechanisms{}, func(_ *fakeCluster, a, b, _ *fakeHost) {
			a.setLose(true)
			require.True(t, isMissing(a.claim("j1", "k")), "an append without an answer counts as failed")
			a.setLose(false)
			require.NoError(t, a.claim("j2", "k"))
			time.Sleep(time.Second)
			x, _ := b.ledger.Find("authority", "k")
			require.Equal(t, "j2", x.Job)
			b.own(2)
			var claimed ErrClaimed
			require.ErrorAs(t, b.claim("j3", "k"), &claimed)
			require.Equal(t, "j2", claimed.Job)
		})
	}
}

func TestClaimAwayFromHomeIsRefused(t *testing.T) {
	b := New(WithDomain("north-quay", []string{"north-quay", "south-beach"}))
	away := 0
	for _, k := range []string{"a", "b", "c", "d", "e", "f"} {
		var not ErrNotHome
		if errors.As(b.Claim(t.Context(), fleet.Term{Counter: 1}, job("j", k), nil), &not) {
			away++
			require.Equal(t, "south-beach", not.Home)
		}
	}
	require.NotZero(t, away)
}

func TestHomeChangesOnlyForKeysOfRemovedDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ds := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 11, rapid.ID[string]).Draw(t, "domains")
		org := rapid.String().Draw(t, "organisation")
		key := rapid.String().Draw(t, "key")
		home := Home(org, key, ds)
		gone := rapid.IntRange(0, len(ds)-1).Draw(t, "gone")
		left := append(append([]string{}, ds[:gone]...), ds[gone+1:]...)
		if ds[gone] != home && Home(org, key, left) != home {
			t.Fatalf("home of %q moved from %s although only %s was removed", key, home, ds[gone])
		}
		reversed := make([]string, len(ds))
		for i, d := range ds {
			reversed[len(ds)-1-i] = d
		}
		if Home(org, key, reversed) != home {
			t.Fatalf("home of %q depends on the order of the domains", key)
		}
	})
}

func TestLedgerIsBounded(t *testing.T) {
	x := DefaultBounds()
	x.Keys = 2
	x.Answer = 4
	x.Lifetime = time.Hour
	inCluster(t, 1, disabledMechanisms{}, func(_ *fakeCluster, a, _, _ *fakeHost) {
		require.NoError(t, a.claim("j1", "k1"))
		require.NoError(t, a.claim("j2", "k2"))
		var full ErrLedgerFull
		require.ErrorAs(t, a.claim("j3", "k3"), &full)
		require.NoError(t, a.done("j1", "k1"))
		y, _ := a.ledger.Find("authority", "k1")
		require.Empty(t, y.Outcome.GetAnswer(), "an answer above the limit is not stored with the key")
		time.Sleep(x.Lifetime + time.Minute)
		require.NoError(t, a.claim("j3", "k3"), "the key with an outcome has expired")
		_, known := a.ledger.Find("authority", "k1")
		require.False(t, known)
		_, known = a.ledger.Find("authority", "k2")
		require.True(t, known, "a key without an outcome never expires")
	}, WithBounds(x))
}
