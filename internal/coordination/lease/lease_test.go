package lease

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// testDomain is a failure domain of workers that track their leases, and hosts that renew them.
type testDomain struct {
	t            *testing.T
	ctx          context.Context
	mu           sync.Mutex
	workers      map[netip.AddrPort]*worker
	hosts        []*host
	term         fleet.Term
	isOwnerAlive bool
}

// worker records its renewals and how often its lease has expired.
type worker struct {
	info           fleet.Worker
	term           fleet.Term
	until          time.Time
	expirations    int
	isUnresponsive bool
	unresponsiveTo string
	tasks          []fleet.TaskReport
	renewalsByHost map[string]int
}

type host struct {
	*Leases
	name         string
	cancel       context.CancelFunc
	pause        *nettest.Pause
	isInHostList bool
	fenced       []fleet.Term
	changed      []string
	// owner is told to suspect the workers that this host reports as changed.
	owner       *host
	lost        map[string]time.Time
	reportCount int
}

func run(t *testing.T, workers int, f func(d *testDomain)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &testDomain{t: t, ctx: ctx, term: fleet.Term{Counter: 1, Host: "h0"}, isOwnerAlive: true}
		b.workers = make(map[netip.AddrPort]*worker)
		for i := range workers {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			info := fleet.Worker{Name: fmt.Sprintf("worker-%03d", i), Addr: a}
			b.workers[a] = &worker{info: info, renewalsByHost: make(map[string]int)}
		}
		f(b)
		for _, h := range b.hosts {
			h.pause.Resume()
		}
		cancel()
		synctest.Wait()
	})
}

func (d *testDomain) start(name string, opts ...Option) *host {
	h := &host{name: name, pause: &nettest.Pause{}, isInHostList: true, lost: make(map[string]time.Time)}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	all := []Option{
		WithSelf(name), WithHosts(d.live), WithClock(h.pause.Clock()),
		WithWorkers(port.Workers{Renew: func(ctx context.Context, w netip.AddrPort, l fleet.Lease) (fleet.Report, error) {
			if err := h.pause.Wait(ctx); err != nil {
				return fleet.Report{}, err
			}
			return d.renewWorker(ctx, h, w, l)
		}}, d.find),
		WithTerm(func() (fleet.Term, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.term, d.isOwnerAlive
		}),
		WithReport(func(fleet.Report) {
			d.mu.Lock()
			defer d.mu.Unlock()
			h.reportCount++
		}),
		WithLost(func(w string, _ error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			h.lost[w] = time.Now()
		}),
		WithChanged(func(w string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			h.changed = append(h.changed, w)
			if h.owner != nil {
				go h.owner.Suspect(w)
			}
		}),
		WithFenced(func(t fleet.Term) {
			d.mu.Lock()
			defer d.mu.Unlock()
			h.fenced = append(h.fenced, t)
		}),
	}
	h.Leases = New(append(all, opts...)...)
	ctx, cancel := context.WithCancel(d.ctx)
	h.cancel = cancel
	go func() { _ = h.Run(ctx) }()
	return h
}

func (d *testDomain) live() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ns []string
	for _, h := range d.hosts {
		if h.isInHostList {
			ns = append(ns, h.name)
		}
	}
	return ns
}

func (d *testDomain) find() []fleet.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ws []fleet.Worker
	for _, w := range d.workers {
		ws = append(ws, w.info)
	}
	return ws
}

// renewWorker is the worker's side of a renewal. A lease that expired before the renewal counts as an expiration.
func (d *testDomain) renewWorker(ctx context.Context, h *host, a netip.AddrPort, l fleet.Lease) (fleet.Report, error) {
	d.mu.Lock()
	w := d.workers[a]
	isUnresponsive := w.isUnresponsive || w.unresponsiveTo == h.name
	d.mu.Unlock()
	if isUnresponsive {
		<-ctx.Done()
		return fleet.Report{}, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Term.Less(w.term) {
		return fleet.Report{Term: w.term}, port.ErrFenced
	}
	now := time.Now()
	if !w.until.IsZero() && now.After(w.until) {
		w.expirations++
	}
	w.term = l.Term
	w.until = now.Add(l.Duration)
	w.renewalsByHost[h.name]++
	return fleet.Report{Worker: w.info, Term: w.term, Tasks: slices.Clone(w.tasks)}, nil
}

func (d *testDomain) set(f func()) {
	d.mu.Lock()
	f()
	d.mu.Unlock()
	synctest.Wait()
}

func (d *testDomain) sleep(wait time.Duration) {
	time.Sleep(wait)
	synctest.Wait()
}

func (d *testDomain) reports(h *host) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return h.reportCount
}

func (d *testDomain) lost(h *host) map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(h.lost)
}

// running returns the number of workers with a valid lease, and the number of expirations so far.
func (d *testDomain) running() (running, expirations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		if w.until.After(time.Now()) {
			running++
		}
		expirations += w.expirations
	}
	return running, expirations
}

func TestLeasesAreSpreadOverHosts(t *testing.T) {
	run(t, 96, func(d *testDomain) {
		hs := []*host{d.start("h0"), d.start("h1"), d.start("h2")}
		d.sleep(time.Minute)
		total := 0
		for _, h := range hs {
			require.InDelta(t, 32, len(h.Workers()), 16, "%s renews its share", h.name)
			total += len(h.Workers())
		}
		require.Equal(t, 96, total, "one lease per worker, renewed by one host")
		hs[1].cancel()
		d.set(func() { hs[1].isInHostList = false })
		d.sleep(10 * time.Minute)
		running, expirations := d.running()
		require.Equal(t, 96, running)
		require.Zero(t, expirations, "no lease expires when a host is lost")
	})
}

func TestRenewalsStayWithinBudget(t *testing.T) {
	for name, mutate := range map[string]bool{"budget": false, "mutation ignores the budget": true} {
		for _, workers := range []int{48, 480} {
			t.Run(fmt.Sprintf("%s, %d workers", name, workers), func(t *testing.T) {
				run(t, workers, func(d *testDomain) {
					var hs []*host
					for i := range 3 {
						hs = append(hs, d.start(fmt.Sprint("h", i), func(l *Leases) { l.ignoresBudget = mutate }))
					}
					d.sleep(2 * time.Minute)
					before := d.reports(hs[0])
					d.sleep(4 * time.Minute)
					perSecond := float64(d.reports(hs[0])-before) * defaultReportSize / 240
					t.Logf("%d of %d workers: every %s, %.0f bytes/s, lease %s",
						len(hs[0].Workers()), workers, hs[0].Interval(), perSecond, hs[0].Duration())
					if mutate {
						require.Greater(t, perSecond, float64(defaultBudget))
						return
					}
					require.LessOrEqual(t, perSecond, float64(defaultBudget)*1.05)
					require.GreaterOrEqual(t, hs[0].Duration(), 3*hs[0].Interval())
					running, expirations := d.running()
					require.Equal(t, workers, running)
					require.Zero(t, expirations)
				})
			})
		}
	}
}

func TestLeasesExpireWhenOwnerIsSuspect(t *testing.T) {
	nettest.RunWithMutation(t, "stops without owner", "renews without owner", func(t *testing.T, mutate bool) {
		run(t, 48, func(d *testDomain) {
			h := d.start("h1", func(l *Leases) { l.renewsWithoutOwner = mutate })
			d.sleep(time.Minute)
			d.set(func() { d.isOwnerAlive = false })
			d.sleep(time.Second)
			before := d.reports(h)
			d.sleep(h.Duration() + time.Second)
			if mutate {
				require.Greater(t, d.reports(h), before, "renewed without a live owner")
				return
			}
			require.Equal(t, before, d.reports(h))
			running, _ := d.running()
			require.Zero(t, running, "all leases have expired")
			d.set(func() {
				d.isOwnerAlive = true
				d.term = fleet.Term{Counter: 2, Host: "h1"}
			})
			d.sleep(h.Interval() + time.Second)
			running, _ = d.running()
			require.Equal(t, 48, running, "leases are renewed in the next owner's term")
		})
	})
}

func TestLeaseExpiresWhileRenewingHostIsPaused(t *testing.T) {
	run(t, 8, func(d *testDomain) {
		h := d.start("h0")
		d.sleep(time.Minute)
		h.pause.Stop()
		d.sleep(h.Duration() + time.Second)
		running, _ := d.running()
		require.Zero(t, running, "all leases have expired")
		d.set(func() {
			for _, w := range d.workers {
				w.term = fleet.Term{Counter: 7, Host: "h1"}
			}
		})
		h.pause.Resume()
		d.sleep(2 * time.Second)
		running, _ = d.running()
		require.Zero(t, running, "the term of the resumed host is rejected")
		d.set(func() { require.Contains(t, h.fenced, fleet.Term{Counter: 7, Host: "h1"}) })
		require.Empty(t, d.lost(h), "a worker that rejects a term is not lost")
	})
}

func TestSuspectWorkerIsRenewedImmediately(t *testing.T) {
	run(t, 480, func(d *testDomain) {
		h, o := d.start("h0"), d.start("h1")
		d.sleep(time.Minute)
		name := h.Workers()[3]
		other := o.Workers()[3]
		var w *worker
		d.set(func() {
			for _, x := range d.workers {
				if x.info.Name == name {
					w = x
				}
			}
			w.isUnresponsive = true
		})
		start := time.Now()
		h.Suspect(name)
		h.Suspect(other)
		d.sleep(3 * time.Second)
		require.Contains(t, d.lost(h), name)
		took := d.lost(h)[name].Sub(start)
		t.Logf("an unresponsive worker is lost %s after a failed call; renewal interval %s", took, h.Interval())
		require.LessOrEqual(t, took, 3*time.Second)
		require.NotContains(t, d.lost(h), other, "a worker that responds is not lost")
		require.NotContains(t, h.Workers(), other, "and stays assigned to its host")
		d.set(func() { w.isUnresponsive = false })
		d.sleep(10 * time.Second)
		h.Suspect(name)
		running, _ := d.running()
		require.Equal(t, 480, running)
	})
}

func TestUnresponsiveWorkerIsReportedLost(t *testing.T) {
	run(t, 160, func(d *testDomain) {
		h := d.start("h0")
		d.sleep(time.Minute)
		name := h.Workers()[0]
		d.set(func() {
			for _, x := range d.workers {
				x.isUnresponsive = x.info.Name == name
			}
		})
		start := time.Now()
		d.sleep(h.Interval() + 4*time.Second)
		require.Len(t, d.lost(h), 1)
		t.Logf("without a failed call an unresponsive worker of 160 is lost after %s", d.lost(h)[name].Sub(start))
	})
}

func TestChangedWorkersAreReported(t *testing.T) {
	run(t, 8, func(d *testDomain) {
		h := d.start("h0")
		d.sleep(time.Minute)
		d.set(func() {
			require.Len(t, h.changed, 8, "each worker is reported once")
			h.changed = nil
			for _, w := range d.workers {
				if w.info.Name == "worker-003" {
					w.tasks = []fleet.TaskReport{{Task: fleet.Task{Ref: fleet.TaskRef{Job: "j", Attempt: 1}}, State: fleet.TaskRunning}}
				}
			}
		})
		d.sleep(10 * time.Second)
		d.set(func() {
			require.Equal(t, []string{"worker-003"}, h.changed)
			for _, w := range d.workers {
				w.isUnresponsive = w.info.Name == "worker-004"
				for i := range w.tasks {
					w.tasks[i].State = fleet.TaskDone
				}
			}
		})
		d.sleep(10 * time.Second)
		d.set(func() {
			counts := make(map[string]int)
			for _, w := range h.changed {
				counts[w]++
			}
			require.Len(t, counts, 2)
			require.Equal(t, 2, counts["worker-003"], "reported once per change")
			require.Greater(t, counts["worker-004"], 1, "reported after each failed renewal of a lost worker")
		})
	})
}

func TestOwnerRenewsWorkersUnreachableFromRenewingHost(t *testing.T) {
	nettest.RunWithMutation(t, "reports each failure", "reports loss once", func(t *testing.T, mutate bool) {
		run(t, 48, func(d *testDomain) {
			owner, renewing := d.start("h0"), d.start("h1", func(l *Leases) { l.reportsLossOnce = mutate })
			d.sleep(time.Minute)
			unreachable := renewing.Workers()[0]
			d.set(func() {
				renewing.owner = owner
				for _, w := range d.workers {
					if w.info.Name == unreachable {
						w.unresponsiveTo = "h1"
					}
				}
			})
			d.sleep(10 * time.Minute)
			running, expirations := d.running()
			if mutate {
				require.Equal(t, 47, running, "a single renewal by the owner is not enough")
				return
			}
			require.Equal(t, 48, running)
			require.Zero(t, expirations)
			require.NotContains(t, d.lost(owner), unreachable)
		})
	})
}

// BenchmarkLeases measures one second of renewals by one host, for several sizes of its share.
func BenchmarkLeases(b *testing.B) {
	for _, workers := range []int{48, 160, 480} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			now := clock.System().Now()
			renewed := 0
			l := New(WithSelf("h0"), WithHosts(func() []string { return []string{"h0"} }),
				WithTerm(func() (fleet.Term, bool) { return fleet.Term{Counter: 1, Host: "h0"}, true }),
				WithClock(clock.Clock{Now: func() time.Time { return now }}),
				WithReport(func(fleet.Report) { renewed++ }),
				WithWorkers(port.Workers{Renew: func(context.Context, netip.AddrPort, fleet.Lease) (fleet.Report, error) {
					return fleet.Report{}, nil
				}}, func() []fleet.Worker {
					ws := make([]fleet.Worker, workers)
					for i := range ws {
						ws[i].Name = fmt.Sprintf("worker-%03d", i)
					}
					return ws
				}))
			for b.Loop() {
				for range int(time.Second / tickInterval) {
					now = now.Add(tickInterval)
					l.updateShare()
					l.renewDue(b.Context())
					l.renewals.Wait()
				}
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(renewed)*defaultReportSize/seconds, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/1e4, "%core")
			b.ReportMetric(l.Interval().Seconds(), "s/interval")
		})
	}
}
