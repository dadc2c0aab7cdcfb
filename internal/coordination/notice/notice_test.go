package notice

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// testDomain is a failure domain of two racks with four workers each; records appended to its log are applied at once.
type testDomain struct {
	state *config.State
	ring  *events.Ring
	scope tally.TestScope
	tasks int
}

func newTestDomain() *testDomain {
	d := &testDomain{
		state: config.New(),
		ring:  events.NewRing("h", 100, events.NewClock(time.Now)),
		scope: tally.NewTestScope("", nil),
	}
	d.state.MarkReadFromStart()
	return d
}

func (d *testDomain) append(_ context.Context, r *wire.Record) (uint64, error) {
	o := d.state.Next()
	d.state.Fold(o, time.Now(), r)
	return o, nil
}

func (d *testDomain) newNotices() *Notices {
	return New(
		WithConfig(d.state.Config),
		WithWorkers(testWorkers),
		WithGuaranteeCheck(checkCount),
		WithAppend(d.append),
		WithEvents(d.ring),
		WithScope(d.scope),
		WithTaskCount(func(context.Context, config.Stop) (int, error) { return d.tasks, nil }),
	)
}

func testWorkers() []fleet.Worker {
	var ws []fleet.Worker
	for i := range 8 {
		ws = append(ws, fleet.Worker{Name: fmt.Sprint("w", i), Domain: "d", Rack: fmt.Sprint("r", i/4), Accelerators: 8})
	}
	return ws
}

func checkCount(ws []fleet.Worker, ps []config.Profile) error {
	left := 0
	for _, w := range ws {
		left += w.Accelerators
	}
	for _, p := range ps {
		left -= guaranteedAccelerators(p, "d")
	}
	if left < 0 {
		return errors.New("too many guarantees")
	}
	return nil
}

func (d *testDomain) configure(t *testing.T, c config.Config) {
	var is []config.Item
	add := func(k config.Kind, name string) {
		b, err := c.Resource(k, name)
		require.NoError(t, err)
		is = append(is, config.Item{Kind: k, Name: name, Version: d.state.Config().Version(k, name), JSON: b})
	}
	for n := range c.Organisations {
		add(config.KindOrganisation, n)
	}
	for n := range c.Profiles {
		add(config.KindProfile, n)
	}
	for n := range c.Stops {
		add(config.KindStop, n)
	}
	id := strconv.FormatUint(d.state.Next(), 10)
	_, err := d.append(t.Context(), config.NewRecord(config.Change{ID: id, Operator: "ann", Reason: "test", Items: is}))
	require.NoError(t, err)
	ch, _ := d.state.GetChange(id)
	require.NoError(t, ch.Err())
}

func guaranteedProfile(accelerators int) config.Config {
	p := config.Profile{
		Name: "reconcile", Version: 1, Urgency: config.Normal, WaitBound: time.Hour, Notice: 2 * time.Hour,
		Guarantees: []config.Guarantee{{
			Organisation: "o", Domain: "d", Gangs: accelerators,
			Shape: fleet.Shape{Tasks: 1, Accelerators: 1, Adjacent: fleet.LevelRack},
		}},
	}
	return config.Config{
		Profiles:      map[string]config.Profile{p.Name: p},
		Organisations: map[string]config.Organisation{"o": {Name: "o", Version: 1, Weight: 1}},
	}
}

func withStop(c config.Config, from time.Time) config.Config {
	s := config.Stop{
		Name: "power", Version: 1, Kind: config.StopRack, Domain: "d", Target: "r1", Reason: "power",
		From: from.UTC(), Until: from.Add(time.Hour).UTC(),
	}
	c.Stops = map[string]config.Stop{s.Name: s}
	return c
}

func TestCheckNoticeOfStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.configure(t, guaranteedProfile(40))
		n := d.newNotices()
		now := time.Now()
		before := d.state.Config()
		err := n.CheckNotice(now, before, withStop(before, now.Add(90*time.Minute)), now)
		var soon ErrTooSoon
		require.ErrorAs(t, err, &soon)
		require.WithinDuration(t, now.Add(2*time.Hour), soon.Earliest, 0)
		require.Equal(t, "stop power", soon.What)
		require.ErrorContains(t, err, "not all guarantees can be kept")
		require.NoError(t, n.CheckNotice(now, before, withStop(before, soon.Earliest), now))
		// A guarantee that fits the other rack needs no notice.
		d.configure(t, guaranteedProfile(32))
		before = d.state.Config()
		require.NoError(t, n.CheckNotice(now, before, withStop(before, now.Add(time.Minute)), now))
	})
}

func TestCheckNoticeOfRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.configure(t, guaranteedProfile(40))
		n := d.newNotices()
		now := time.Now()
		before := d.state.Config()
		for name, change := range map[string]func(*config.Profile){
			"guarantee shrinks": func(p *config.Profile) { p.Guarantees = nil },
			"urgency falls":     func(p *config.Profile) { p.Urgency = config.Quiet },
			"may wait 3h":       func(p *config.Profile) { p.WaitBound = 3 * time.Hour },
		} {
			p := before.Profiles["reconcile"]
			change(&p)
			after := before
			after.Profiles = map[string]config.Profile{p.Name: p}
			var soon ErrTooSoon
			err := n.CheckNotice(now, before, after, now)
			require.ErrorAs(t, err, &soon, name)
			require.ErrorContains(t, err, name)
			require.WithinDuration(t, now.Add(2*time.Hour), soon.Earliest, 0)
			require.NoError(t, n.CheckNotice(now, before, after, soon.Earliest), name)
		}
		retired := before
		retired.Profiles = nil
		require.ErrorContains(t, n.CheckNotice(now, before, retired, now), "retired")
	})
}

// TestNoticeOfStop checks that a notice is issued once, survives a snapshot and restart, can be acknowledged, and is
// withdrawn when its stop is cancelled.
func TestNoticeOfStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.configure(t, guaranteedProfile(40))
		n := d.newNotices()
		require.NoError(t, n.pass(t.Context()))
		require.Empty(t, d.state.Config().Notices)
		from := time.Now().Add(5 * time.Hour)
		d.configure(t, withStop(d.state.Config(), from))
		require.NoError(t, n.pass(t.Context()))
		require.NoError(t, n.pass(t.Context()))
		require.Len(t, d.state.Config().Notices, 1)
		var x config.Notice
		for _, x = range d.state.Config().Notices {
			require.Equal(t, "o", x.Organisation)
			require.Equal(t, from.UTC(), x.From)
			require.Equal(t, from.Add(-2*time.Hour).UTC(), x.CallBy)
			require.Contains(t, x.Why, "32 of 64 accelerators left")
		}
		w, err := d.state.Snapshot()
		require.NoError(t, err)
		d.state = config.New()
		require.NoError(t, d.state.Load(w))
		n = d.newNotices()
		require.NoError(t, n.pass(t.Context()))
		require.Len(t, d.state.Config().Notices, 1)
		_, err = d.append(t.Context(), config.NewAckRecord("k", x.ID, "ann", "called"))
		require.NoError(t, err)
		require.Equal(t, "ann", d.state.Config().Notices[x.ID].AckedBy)
		s := d.state.Config().Stops["power"]
		cancel := config.Item{Kind: config.KindStop, Name: "power", Version: s.Version, Remove: true}
		_, err = d.append(t.Context(), config.NewRecord(config.Change{ID: "c", Operator: "ann", Reason: "r", Items: []config.Item{cancel}}))
		require.NoError(t, err)
		require.NoError(t, n.pass(t.Context()))
		require.Empty(t, d.state.Config().Notices)
	})
}

func TestNoticeOfPlannedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.configure(t, guaranteedProfile(40))
		n := d.newNotices()
		i := config.Item{Kind: config.KindProfile, Name: "reconcile", Version: 1, Remove: true}
		from := time.Now().Add(6 * time.Hour)
		_, err := d.append(t.Context(), config.NewRecord(config.Change{
			ID: "retire", Operator: "ann", Reason: "r", From: from, Items: []config.Item{i},
		}))
		require.NoError(t, err)
		require.NoError(t, n.pass(t.Context()))
		ns := d.state.Config().Notices
		require.Len(t, ns, 1)
		for _, x := range ns {
			require.Equal(t, "the profile is retired", x.Why)
			require.Equal(t, "Change retire", x.Cause)
		}
	})
}

func TestSlowdownWithoutNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.configure(t, guaranteedProfile(40))
		n := d.newNotices()
		slow := ObservedWait{Organisation: "o", Profile: "reconcile", Domain: "d", Wait: 2 * time.Hour, Cause: "burst"}
		n.Observe(slow)
		n.Observe(slow)
		count := func(name string) int64 {
			c, ok := d.scope.Snapshot().Counters()[name]
			if !ok {
				return 0
			}
			return c.Value()
		}
		require.Equal(t, int64(1), count("slowdowns_unannounced+cause=burst"))
		es, _ := d.ring.Find(events.Filter{Profile: "reconcile"})
		require.Len(t, es, 1)
		require.Equal(t, events.NoticeMissed, es[0].Kind)
		slow.Wait = 0
		n.Observe(slow)
		d.configure(t, withStop(d.state.Config(), time.Now().Add(3*time.Hour)))
		require.NoError(t, n.pass(t.Context()))
		time.Sleep(3*time.Hour + time.Minute)
		slow.Wait = 2 * time.Hour
		n.Observe(slow)
		require.Equal(t, int64(1), count("slowdowns_unannounced+cause=burst"), "this one was announced in time")
		require.Equal(t, int64(2), count("slowdowns+"))
	})
}

func TestStopState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain()
		d.tasks = 3
		n := d.newNotices()
		c := withStop(guaranteedProfile(1), time.Now().Add(time.Hour))
		d.configure(t, c)
		s := d.state.Config().Stops["power"]
		require.Equal(t, StopAnnounced, n.StopState(t.Context(), s))
		time.Sleep(time.Hour)
		require.Equal(t, "Draining (3 tasks)", n.StopState(t.Context(), s))
		n.watchStops(t.Context())
		d.tasks = 0
		require.Equal(t, StopSafe, n.StopState(t.Context(), s))
		n.watchStops(t.Context())
		n.watchStops(t.Context())
		es, _ := d.ring.Find(events.Filter{})
		require.Len(t, es, 1)
		require.Equal(t, events.StopSafe, es[0].Kind)
		time.Sleep(time.Hour)
		require.Equal(t, StopOver, n.StopState(t.Context(), s))
	})
}

func TestLoadSurvivesSnapshot(t *testing.T) {
	l := NewLoad()
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	job := &wire.Job{
		Organisation: "o", Profile: "p", RunTimeMillis: time.Hour.Milliseconds(),
		Shape: &wire.Shape{Tasks: 4, Accelerators: 2},
	}
	for d := range 21 {
		job.SubmittedUnixMillis = start.Add(time.Duration(d)*24*time.Hour + 6*time.Hour).UnixMilli()
		b := &wire.JobBatch{Domain: "d", Accepted: []*wire.Job{job}}
		l.FoldJobs(b, func(_, _ string, d time.Duration) time.Duration { return 2 * d })
	}
	k := Key{Profile: "p", Domain: "d"}
	sixOClock := start.Add(21*24*time.Hour + 6*time.Hour)
	require.InDelta(t, 16, l.Expect(k, sixOClock, 0), 0.01)
	require.Zero(t, l.Expect(k, sixOClock.Add(time.Hour), 0))
	b, err := l.Encode(0)
	require.NoError(t, err)
	o := NewLoad()
	require.NoError(t, o.Decode(b))
	require.Equal(t, l.Expect(k, sixOClock, 1), o.Expect(k, sixOClock, 1))
	require.Equal(t, []string{"o"}, o.FindOrganisations(k))
	for i := range 200 {
		l.Add(Key{Profile: fmt.Sprint(i), Domain: "d"}, "o", sixOClock, float64(i))
	}
	b, err = l.Encode(1000)
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), 1000)
	o = NewLoad()
	require.NoError(t, o.Decode(b))
	require.True(t, o.HasProfile("p"), "the profile that offers most is kept")
}

// allocateReference allocates the capacity in small quanta: first to guarantees, then per urgency to the profile with
// the largest unmet demand.
func allocateReference(as []*allocation, left float64) {
	const quantum = 1.0 / 64
	for _, a := range as {
		for a.served+quantum <= min(a.demand, a.guaranteed) && left >= quantum {
			a.served += quantum
			left -= quantum
		}
	}
	for rank := range 3 {
		for left >= quantum {
			var next *allocation
			for _, a := range as {
				if a.profile.Urgency.Rank() != rank || a.served+quantum > a.demand {
					continue
				}
				if next == nil || a.demand-a.served > next.demand-next.served {
					next = a
				}
			}
			if next == nil {
				break
			}
			next.served += quantum
			left -= quantum
		}
	}
}

// TestAllocateMatchesReference compares the totals per urgency only: within an urgency, allocate is proportional while
// the reference equalizes the unmet demand.
func TestAllocateMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		urgencies := []config.Urgency{config.Urgent, config.Normal, config.Quiet}
		var a, b []*allocation
		for i := range rapid.IntRange(1, 6).Draw(t, "lanes") {
			l := allocation{
				profile:    config.Profile{Name: fmt.Sprint(i), Urgency: rapid.SampledFrom(urgencies).Draw(t, "urgency")},
				guaranteed: float64(rapid.IntRange(0, 8).Draw(t, "guaranteed")),
				demand:     float64(rapid.IntRange(0, 16).Draw(t, "asked")),
			}
			m := l
			a, b = append(a, &l), append(b, &m)
		}
		sortByPriority(a)
		sortByPriority(b)
		left := float64(rapid.IntRange(0, 40).Draw(t, "left"))
		allocate(a, left)
		allocateReference(b, left)
		for rank := range 3 {
			x, y := 0.0, 0.0
			for i := range a {
				require.LessOrEqual(t, a[i].served, a[i].demand+1e-9)
				if a[i].profile.Urgency.Rank() == rank {
					x += a[i].served
					y += b[i].served
				}
			}
			require.InDelta(t, y, x, 0.25)
		}
	})
}

func FuzzDecodeLoad(f *testing.F) {
	l := NewLoad()
	l.Add(Key{"p", "d"}, "o", time.Unix(0, 0), 1)
	b, err := l.Encode(0)
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		x := NewLoad()
		if x.Decode(b) == nil {
			x.Add(Key{"p", "d"}, "o", time.Unix(1e6, 0), 1)
			x.Expect(Key{"p", "d"}, time.Unix(1e6, 0), 1)
			_, err := x.Encode(0)
			require.NoError(t, err)
		}
	})
}

func BenchmarkCheckNotice(b *testing.B) {
	for _, profiles := range []int{10, 40, 160} {
		b.Run(fmt.Sprint("profiles=", profiles), func(b *testing.B) {
			c := guaranteedProfile(1)
			for i := range profiles {
				p := c.Profiles["reconcile"]
				p.Name = fmt.Sprint("p", i)
				c.Profiles[p.Name] = p
			}
			n := New(WithWorkers(testWorkers), WithGuaranteeCheck(checkCount))
			now := time.Now()
			after := withStop(c, now.Add(24*time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				_ = n.CheckNotice(now, c, after, now)
			}
		})
	}
}

func BenchmarkEncodeLoad(b *testing.B) {
	for _, n := range []int{50, 550} {
		b.Run(fmt.Sprint("series=", n), func(b *testing.B) {
			l := NewLoad()
			for i := range n {
				for h := range 14 * hoursOfDay {
					x := float64(i%7+1) * (10 + float64((h*7919+i*104729)%1000)/300)
					l.Add(Key{fmt.Sprint("p", i%50), fmt.Sprint("d", i/50)}, "o", time.Unix(int64(h)*3600, 0), x)
				}
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				e, err := l.Encode(0)
				require.NoError(b, err)
				size = len(e)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
