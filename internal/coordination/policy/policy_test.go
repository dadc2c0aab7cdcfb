package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestPublishRace(t *testing.T) {
	l := newFakeLog()
	a, _ := l.startHost()
	b, r := l.startHost()
	first := mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	l.setCut(r, true)
	won := mustPublish(t, a, newRequest("2", "ann", organisationItem(t, "registry", 2, first.Offset)))
	l.setCut(r, false)
	_, err := b.Publish(t.Context(), newRequest("3", "bob", organisationItem(t, "registry", 3, first.Offset)))
	var e ErrConflict
	require.ErrorAs(t, err, &e)
	require.Equal(t, "ann", e.Conflict.By)
	require.Equal(t, won.Offset, e.Conflict.Have)
	require.Equal(t, []config.Difference{{Key: "Weight", Old: "2", New: "3"}}, e.Differences)
	require.Equal(t, 2, weight(b, "registry"))
}

// TestPublishRaceUnseen publishes on a host that has not read a conflicting change yet. Each host finds its own change
// valid, and the log order has to decide.
func TestPublishRaceUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, _ := l.startHost()
		b, r := l.startHost()
		l.setCut(r, true)
		mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
		done := make(chan error)
		go func() {
			_, err := b.Publish(context.Background(), newRequest("2", "bob", organisationItem(t, "registry", 9, 0)))
			done <- err
		}()
		synctest.Wait()
		l.setCut(r, false)
		var e ErrConflict
		require.ErrorAs(t, <-done, &e)
		require.Equal(t, "ann", e.Conflict.By)
		require.Equal(t, 1, weight(b, "registry"))
	})
}

// TestPublishAfterUnseenRemoval checks that a host that has not read a removal yet does not refuse to create the
// resource again.
func TestPublishAfterUnseenRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, _ := l.startHost()
		b, r := l.startHost()
		mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
		l.setCut(r, true)
		mustPublish(t, a, newRequest("2", "ann", config.Item{Kind: config.KindOrganisation, Name: "registry", Version: 1, Remove: true}))
		done := make(chan error)
		go func() {
			_, err := b.Publish(context.Background(), newRequest("3", "bob", organisationItem(t, "registry", 9, 0)))
			done <- err
		}()
		synctest.Wait()
		l.setCut(r, false)
		require.NoError(t, <-done)
		require.Equal(t, 9, weight(a, "registry"))
	})
}

func TestPublishNotAcceptedBeforeFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, r := l.startHost()
		l.setCut(r, true)
		_, err := a.Publish(t.Context(), newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
		require.ErrorIs(t, err, ErrNotFolded)
		l.setCut(r, false)
		c := mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
		require.Equal(t, uint64(1), c.Offset)
		require.Len(t, l.records, 1)
	})
}

func TestPublishLostAnswer(t *testing.T) {
	l := newFakeLog()
	a, _ := l.startHost()
	l.losesAnswer = func() bool { return true }
	c, err := a.Publish(t.Context(), newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	require.NoError(t, err, "the record was read back, so the change is accepted")
	require.Equal(t, uint64(1), c.Offset)
}

func TestPublishLostAnswerWhileCut(t *testing.T) {
	l := newFakeLog()
	a, _ := l.startHost()
	b, r := l.startHost()
	l.setCut(r, true)
	l.losesAnswer = func() bool { return true }
	_, err := b.Publish(t.Context(), newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	require.ErrorIs(t, err, errLost, "the outcome is unknown")
	l.losesAnswer = func() bool { return false }
	// A repeat through another host returns the verdict and does not append the change again.
	require.Equal(t, uint64(1), mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0))).Offset)
	l.setCut(r, false)
	require.Equal(t, uint64(1), mustPublish(t, b, newRequest("1", "ann", organisationItem(t, "registry", 1, 0))).Offset)
	require.Len(t, l.records, 1)
	_, err = b.Publish(t.Context(), newRequest("1", "ann", organisationItem(t, "audits", 1, 0)))
	require.ErrorIs(t, err, ErrIDReused)
}

func TestPublishOutage(t *testing.T) {
	l := newFakeLog()
	a, _ := l.startHost()
	mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	l.isDown = true
	_, err := a.Publish(t.Context(), newRequest("2", "ann", organisationItem(t, "registry", 2, 1)))
	require.ErrorIs(t, err, errDown)
	require.Equal(t, 1, weight(a, "registry"))
	require.NoError(t, a.State().Ready(), "the configuration stays in force")
	l.isDown = false
	mustPublish(t, a, newRequest("2", "ann", organisationItem(t, "registry", 2, 1)))
	require.Equal(t, 2, weight(a, "registry"))
}

// TestPolicyCutOffHostLoadsPeerSnapshot checks that a host that is cut off from the log loads the configuration from
// its peers, that an older snapshot does not revert it, and that a new host is not ready without one.
func TestPolicyCutOffHostLoadsPeerSnapshot(t *testing.T) {
	l := newFakeLog()
	a, _ := l.startHost()
	b, r := l.startHost()
	mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	var old wire.SnapshotReply
	require.NoError(t, a.State().TakeSnapshot(&old))
	l.setCut(r, true)
	mustPublish(t, a, newRequest("2", "ann", organisationItem(t, "registry", 2, 1)))
	require.Equal(t, 1, weight(b, "registry"))
	var reply wire.SnapshotReply
	require.NoError(t, a.State().TakeSnapshot(&reply))
	require.NoError(t, b.State().LoadSnapshot(&reply))
	require.Equal(t, 2, weight(b, "registry"))
	require.NoError(t, b.State().LoadSnapshot(&old))
	require.Equal(t, 2, weight(b, "registry"))
	l.setCut(r, false)
	require.Equal(t, a.Config(), b.Config())
	fresh := New()
	require.Error(t, fresh.State().Ready(), "a host without the configuration must not be ready")
	require.NoError(t, fresh.State().LoadSnapshot(&reply))
	require.Equal(t, a.Config(), fresh.Config())
}

// TestPolicyRetention checks that snapshots keep the configuration in a log whose records expire after 24 minutes.
// Without snapshots, a host that starts later has no configuration.
func TestPolicyRetention(t *testing.T) {
	for _, tt := range []struct {
		name      string
		retention time.Duration
		isReady   bool
	}{
		{"with snapshots", 24 * time.Minute, true},
		{"without snapshots", 1000 * time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				var hosts []*Policy
				for i := range 3 {
					p, _ := l.startHost(WithRetention(tt.retention), WithRank(func() int { return i }))
					hosts = append(hosts, p)
				}
				mustPublish(t, hosts[0], newRequest("1", "ann", organisationItem(t, "registry", 7, 0)))
				ctx, cancel := context.WithCancel(t.Context())
				for _, p := range hosts {
					go func() { _ = p.Run(ctx) }()
				}
				time.Sleep(72 * time.Minute)
				cancel()
				synctest.Wait()
				l.expire(24 * time.Minute)
				fresh, _ := l.startHost()
				require.Equal(t, tt.isReady, fresh.State().Ready() == nil)
				if tt.isReady {
					require.Equal(t, hosts[0].Config(), fresh.Config())
					require.Len(t, l.records, 1+72/6, "only one host writes each snapshot")
				}
				for _, p := range hosts {
					require.Equal(t, 7, weight(p, "registry"))
				}
			})
		})
	}
}

// TestPolicyRetentionOutage checks that a failed snapshot is retried after a minute and not in every maintenance pass,
// since taking a snapshot is costly.
func TestPolicyRetentionOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		var snapshots atomic.Int32
		a, _ := l.startHost(WithRetention(4*time.Minute), WithForecast(func() ([]byte, error) {
			snapshots.Add(1)
			return nil, nil
		}))
		mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 7, 0)))
		ctx, cancel := context.WithCancel(t.Context())
		l.isDown = true
		go func() { _ = a.Run(ctx) }()
		time.Sleep(10*time.Minute + 30*time.Second)
		require.Equal(t, int32(10), snapshots.Load())
		l.mu.Lock()
		l.isDown = false
		l.mu.Unlock()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		require.Len(t, l.records, 2)
	})
}

func TestPolicyPlannedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, _ := l.startHost()
		b, _ := l.startHost(WithRank(func() int { return 1 }))
		mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
		q := newRequest("2", "ann", organisationItem(t, "registry", 2, 1))
		q.From = time.Now().Add(time.Hour)
		mustPublish(t, a, q)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		go func() { _ = b.Run(ctx) }()
		time.Sleep(time.Hour - 5*time.Second)
		require.Equal(t, 1, weight(b, "registry"))
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, weight(b, "registry"))
		cancel()
		synctest.Wait()
		require.Len(t, l.records, 3)
	})
}

func TestPublishChecksWholeConfiguration(t *testing.T) {
	l := newFakeLog()
	tooMany := errors.New("rack 1 holds 8")
	capacity := 10
	fits := func(_ []fleet.Worker, ps []config.Profile) error {
		n := 0
		for _, p := range ps {
			for _, g := range p.Guarantees {
				n += g.Gangs
			}
		}
		if n > capacity {
			return tooMany
		}
		return nil
	}
	a, _ := l.startHost(WithGuaranteeCheck(fits, func() []fleet.Worker { return nil }))
	mustPublish(t, a, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
	profile := func(gangs int, version uint64) config.Item {
		p := config.Profile{Name: "audits", Urgency: config.Quiet, WaitBound: time.Hour}
		p.Guarantees = []config.Guarantee{{
			Organisation: "registry", Domain: "d", Gangs: gangs,
			Shape: fleet.Shape{Tasks: 1, Accelerators: 1, Adjacent: fleet.LevelRack},
		}}
		b, err := json.Marshal(p)
		require.NoError(t, err)
		return config.Item{Kind: config.KindProfile, Name: "audits", Version: version, JSON: b}
	}
	_, err := a.Publish(t.Context(), newRequest("2", "ann", profile(11, 0)))
	require.ErrorIs(t, err, tooMany)
	c := mustPublish(t, a, newRequest("3", "ann", profile(10, 0)))
	capacity = 5
	c = mustPublish(t, a, newRequest("4", "ann", profile(8, c.Offset)))
	_, err = a.Publish(t.Context(), newRequest("5", "ann", profile(9, c.Offset)))
	require.ErrorIs(t, err, tooMany, "if workers were lost, guarantees may be reduced but not increased")

	typo := config.Item{Kind: config.KindOrganisation, Name: "x", JSON: []byte(`{"Name":"x","Weight":1,"Colour":2}`)}
	_, err = a.Publish(t.Context(), newRequest("6", "ann", typo))
	var invalid config.ErrInvalid
	require.ErrorAs(t, err, &invalid)
	require.Len(t, l.records, 3, "a refused change must not reach the log")
}

func TestPublishForced(t *testing.T) {
	l := newFakeLog()
	ring := events.NewRing("h", 100, events.NewClock(time.Now))
	soon := notice.ErrTooSoon{What: "stop rack", Profile: "audits", Earliest: time.Now().Add(time.Hour)}
	check := func(time.Time, config.Config, config.Config, time.Time) error { return soon }
	a, _ := l.startHost(WithNoticeCheck(check), WithEvents(ring))
	s := config.Stop{
		Name: "rack", Kind: config.StopRack, Domain: "d", Target: "r1", Reason: "power",
		From: time.Now(), Until: time.Now().Add(time.Hour),
	}
	b, err := json.Marshal(s)
	require.NoError(t, err)
	q := newRequest("1", "ann", config.Item{Kind: config.KindStop, Name: "rack", JSON: b})
	_, err = a.Publish(t.Context(), q)
	var e notice.ErrTooSoon
	require.ErrorAs(t, err, &e)
	require.Equal(t, soon.Earliest, e.Earliest)
	require.Empty(t, l.records)
	q.Force = true
	c := mustPublish(t, a, q)
	require.True(t, c.Forced)
	require.True(t, a.Config().Stops["rack"].Forced)
	es, _ := ring.Find(events.Filter{})
	var kinds []events.Kind
	for _, x := range es {
		kinds = append(kinds, x.Kind)
	}
	require.Contains(t, kinds, events.PromiseBroken)
	require.Contains(t, kinds, events.StopAnnounced)
}

func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ms := []Member{{"a1", "a", 5}, {"a2", "a", 5}, {"b1", "b", 5}}
		p := New(WithMembers(func() []Member { return ms }))
		p.State().MarkReadFromStart()
		require.False(t, p.Status().Domains[0].Lags)
		start := time.Now()
		time.Sleep(time.Second)
		ms = []Member{{"a1", "a", 6}, {"a2", "a", 5}, {"b1", "b", 6}}
		p.Status()
		time.Sleep(2 * time.Second)
		s := p.Status()
		require.Equal(t, uint64(6), s.Offset)
		a, b := s.Domains[0], s.Domains[1]
		require.Equal(t, uint64(5), a.Offset)
		require.Equal(t, start, a.Since)
		require.True(t, a.Lags)
		require.Equal(t, 2*time.Second, a.Hosts[1].Behind)
		require.Equal(t, uint64(6), b.Offset)
		require.Equal(t, start.Add(time.Second), b.Since)
		require.False(t, b.Lags)
		require.Empty(t, s.Alarm)
	})
}

func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{8, 33, 132} {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			var ms []Member
			for i := range n {
				ms = append(ms, Member{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%11), Offset: 7})
			}
			p := New(WithMembers(func() []Member { return ms }))
			b.ReportAllocs()
			for b.Loop() {
				p.Status()
			}
		})
	}
}
