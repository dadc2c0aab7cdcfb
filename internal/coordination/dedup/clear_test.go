package dedup

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
)

func clearing(id, domain string) ClearRequest {
	return ClearRequest{ID: id, Domain: domain, Operator: "ann", Reason: "compared with the register"}
}

// inClusterAfterLoss runs f on two new hosts after the loss of all hosts, which held a claim outside the log.
func inClusterAfterLoss(t *testing.T, seed uint64, f func(c *fakeCluster, x, y *fakeHost)) {
	inCluster(t, seed, disabledMechanisms{}, func(c *fakeCluster, a, _, _ *fakeHost) {
		c.setLog(false)
		time.Sleep(20 * time.Second)
		require.NoError(t, a.claim("j1", "k"))
		c.stop()
		c.logDown = false
		x, y := c.start("h1"), c.start("h2")
		x.own(5)
		time.Sleep(2 * time.Second)
		f(c, x, y)
	})
}

func TestClearEndsTheRefusals(t *testing.T) {
	for s := range uint64(seeds) {
		inClusterAfterLoss(t, s, func(c *fakeCluster, x, y *fakeHost) {
			require.True(t, isMissing(x.claim("j2", "other")))
			for _, h := range []*fakeHost{x, y} {
				require.False(t, h.ledger.Status().Complete)
				require.False(t, h.ledger.Status().Since.IsZero())
				require.NotEmpty(t, h.ledger.Status().Why)
			}
			var wrong ErrDomainNotExist
			_, err := y.ledger.Clear(c.t.Context(), clearing("c1", "south-beach"))
			require.ErrorAs(t, err, &wrong)
			require.True(t, isMissing(x.claim("j2", "other")))

			v, err := y.ledger.Clear(c.t.Context(), clearing("c1", "north-quay"))
			require.NoError(t, err)
			require.Equal(t, clearing("c1", "north-quay"), v.ClearRequest)
			require.True(t, y.ledger.Status().Complete)
			time.Sleep(time.Second)
			require.NoError(t, x.claim("j3", "other"), "seed %d", s)
			require.True(t, x.ledger.Status().Complete)
			again, err := x.ledger.Clear(c.t.Context(), clearing("c1", "north-quay"))
			require.NoError(t, err)
			require.Equal(t, v, again, "a repeat gets the first result")
		})
	}
}

func TestClearWhoseAnswerIsLostIsRepeated(t *testing.T) {
	inClusterAfterLoss(t, 1, func(c *fakeCluster, x, y *fakeHost) {
		y.setLose(true)
		_, err := y.ledger.Clear(c.t.Context(), clearing("c1", "north-quay"))
		require.ErrorIs(t, err, errUnknown)
		y.setLose(false)
		_, err = y.ledger.Clear(c.t.Context(), clearing("c1", "north-quay"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.NoError(t, x.claim("j3", "other"))
	})
}

func TestClearIsRefusedWhileTheMarkerHolds(t *testing.T) {
	// The owner has lost only its link to the log. An operator believes that the owner is dead and clears the claims while the
	// owner's marker is valid.
	requireMechanism(t, disabledMechanisms{clearGuard: true}, func(t *testing.T, seed uint64, off disabledMechanisms) int {
		n := 0
		inCluster(t, seed, off, func(c *fakeCluster, a, b, d *fakeHost) {
			c.setCut(func(x, y string) bool { return x == "h3" || y == "h3" })
			a.setLog(false)
			b.setLog(false)
			_, err := d.ledger.Clear(c.t.Context(), clearing("c1", "north-quay"))
			var notMissing ErrNothingMissing
			require.Equal(t, !off.clearGuard, fmt.Sprintf("%T", err) == fmt.Sprintf("%T", notMissing), "%v", err)
			d.own(2)
			time.Sleep(20 * time.Second)
			n = countGranted(d.claim("j1", "k"), a.claim("j2", "k"))
		})
		return n
	})
}

func TestSkippedLogIsMissingUntilCleared(t *testing.T) {
	m := &wire.OnceMarker{Domain: "north-quay", Cleared: true}
	r := &wire.Record{Id: clearID("north-quay", "c1"), Body: &wire.Record_Marker{Marker: m}}
	for _, isBefore := range []bool{true, false} {
		b := New(WithDomain("north-quay", []string{"north-quay"}), WithHost("h1"))
		if isBefore {
			b.Fold(70, time.Now(), r)
		}
		b.ReachedTail()
		require.Equal(t, isBefore, b.Status().Complete)
		if !isBefore {
			b.Fold(70, time.Now(), r)
		}
		require.True(t, b.Status().Complete)
	}
}
