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

// bench is a failure domain's workers, which honour leases, and the hosts that renew them.
type bench struct {
	t       *testing.T
	ctx     context.Context
	mu      sync.Mutex
	workers map[netip.AddrPort]*worker
	hosts   []*host
	term    fleet.Term
	isAlive bool
}

// worker runs a task until its lease lapses.
type worker struct {
	info      fleet.Worker
	term      fleet.Term
	until     time.Time
	lapses    int
	isSilent  bool
	silentFor string
	tasks     []fleet.TaskReport
	by        map[string]int
}

type host struct {
	*Leases
	name    string
	cancel  context.CancelFunc
	pause   *nettest.Pause
	isLive  bool
	fenced  []fleet.Term
	changed []string
	// owner hears of the changes.
	owner *host
	lost  map[string]time.Time
	back  int
}

func run(t *testing.T, workers int, f func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{t: t, ctx: ctx, term: fleet.Term{Counter: 1, Host: "h0"}, isAlive: true}
		b.workers = make(map[netip.AddrPort]*worker)
		for i := range workers {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			info := fleet.Worker{Name: fmt.Sprintf("worker-%03d", i), Addr: a}
			b.workers[a] = &worker{info: info, by: make(map[string]int)}
		}
		f(b)
		for _, h := range b.hosts {
			h.pause.Resume()
		}
		cancel()
		synctest.Wait()
	})
}

func (b *bench) start(name string, opts ...Option) *host {
	h := &host{name: name, pause: &nettest.Pause{}, isLive: true, lost: make(map[string]time.Time)}
	b.mu.Lock()
	b.hosts = append(b.hosts, h)
	b.mu.Unlock()
	all := []Option{
		WithSelf(name), WithHosts(b.live), WithClock(h.pause.Clock()),
		WithWorkers(port.Workers{Renew: func(ctx context.Context, w netip.AddrPort, l fleet.Lease) (fleet.Report, error) {
			if err := h.pause.Wait(ctx); err != nil {
				return fleet.Report{}, err
			}
			return b.renew(ctx, h, w, l)
		}}, b.find),
		WithTerm(func() (fleet.Term, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.term, b.isAlive
		}),
		WithReport(func(fleet.Report) {
			b.mu.Lock()
			defer b.mu.Unlock()
			h.back++
		}),
		WithLost(func(w string, _ error) {
			b.mu.Lock()
			defer b.mu.Unlock()
			h.lost[w] = time.Now()
		}),
		WithChanged(func(w string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			h.changed = append(h.changed, w)
			if h.owner != nil {
				go h.owner.Suspect(w)
			}
		}),
		WithFenced(func(t fleet.Term) {
			b.mu.Lock()
			defer b.mu.Unlock()
			h.fenced = append(h.fenced, t)
		}),
	}
	h.Leases = New(append(all, opts...)...)
	ctx, cancel := context.WithCancel(b.ctx)
	h.cancel = cancel
	go func() { _ = h.Run(ctx) }()
	return h
}

func (b *bench) live() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ns []string
	for _, h := range b.hosts {
		if h.isLive {
			ns = append(ns, h.name)
		}
	}
	return ns
}

func (b *bench) find() []fleet.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ws []fleet.Worker
	for _, w := range b.workers {
		ws = append(ws, w.info)
	}
	return ws
}

// renew is what a worker does with a renewal; a lease that lapsed before it has stopped the tasks.
func (b *bench) renew(ctx context.Context, h *host, a netip.AddrPort, l fleet.Lease) (fleet.Report, error) {
	b.mu.Lock()
	w := b.workers[a]
	isSilent := w.isSilent || w.silentFor == h.name
	b.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return fleet.Report{}, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Term.Less(w.term) {
		return fleet.Report{Term: w.term}, port.ErrFenced
	}
	now := time.Now()
	if !w.until.IsZero() && now.After(w.until) {
		w.lapses++
	}
	w.term = l.Term
	w.until = now.Add(l.Duration)
	w.by[h.name]++
	return fleet.Report{Worker: w.info, Term: w.term, Tasks: slices.Clone(w.tasks)}, nil
}

func (b *bench) set(f func()) {
	b.mu.Lock()
	f()
	b.mu.Unlock()
	synctest.Wait()
}

func (b *bench) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bench) reports(h *host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.back
}

func (b *bench) lost(h *host) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(h.lost)
}

// running counts the workers whose lease holds, and all lapses so far.
func (b *bench) running() (running, lapses int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.workers {
		if w.until.After(time.Now()) {
			running++
		}
		lapses += w.lapses
	}
	return running, lapses
}

func TestLeasesAreSpreadOverHosts(t *testing.T) {
	run(t, 96, func(b *bench) {
		hs := []*host{b.start("h0"), b.start("h1"), b.start("h2")}
		b.sleep(time.Minute)
		total := 0
		for _, h := range hs {
			require.InDelta(t, 32, len(h.Workers()), 16, "%s renews its part", h.name)
			total += len(h.Workers())
		}
		require.Equal(t, 96, total, "one lease per worker, renewed by one host")
		hs[1].cancel()
		b.set(func() { hs[1].isLive = false })
		b.sleep(10 * time.Minute)
		running, lapses := b.running()
		require.Equal(t, 96, running)
		require.Zero(t, lapses, "no lease lapses when a host is lost")
	})
}

func TestLeasesStayWithinTheBudget(t *testing.T) {
	for name, mutate := range map[string]bool{"budget": false, "mutation ignores the budget": true} {
		for _, workers := range []int{48, 480} {
			t.Run(fmt.Sprintf("%s, %d workers", name, workers), func(t *testing.T) {
				run(t, workers, func(b *bench) {
					var hs []*host
					for i := range 3 {
						hs = append(hs, b.start(fmt.Sprint("h", i), func(l *Leases) { l.ignoresBudget = mutate }))
					}
					b.sleep(2 * time.Minute)
					before := b.reports(hs[0])
					b.sleep(4 * time.Minute)
					perSecond := float64(b.reports(hs[0])-before) * defaultSize / 240
					t.Logf("%d of %d workers: every %s, %.0f bytes/s, lease %s",
						len(hs[0].Workers()), workers, hs[0].Interval(), perSecond, hs[0].Duration())
					if mutate {
						require.Greater(t, perSecond, float64(defaultBudget))
						return
					}
					require.LessOrEqual(t, perSecond, float64(defaultBudget)*1.05)
					require.GreaterOrEqual(t, hs[0].Duration(), 3*hs[0].Interval())
					running, lapses := b.running()
					require.Equal(t, workers, running)
					require.Zero(t, lapses)
				})
			})
		}
	}
}

func TestLeasesEndWhenTheOwnerIsSuspect(t *testing.T) {
	nettest.Both(t, "helper stops", "renews always", func(t *testing.T, mutate bool) {
		run(t, 48, func(b *bench) {
			h := b.start("h1", func(l *Leases) { l.renewsAlways = mutate })
			b.sleep(time.Minute)
			b.set(func() { b.isAlive = false })
			b.sleep(time.Second)
			before := b.reports(h)
			b.sleep(h.Duration() + time.Second)
			if mutate {
				require.Greater(t, b.reports(h), before, "renewed for an owner that is gone")
				return
			}
			require.Equal(t, before, b.reports(h))
			running, _ := b.running()
			require.Zero(t, running, "the workers stop their tasks by themselves")
			b.set(func() {
				b.isAlive = true
				b.term = fleet.Term{Counter: 2, Host: "h1"}
			})
			b.sleep(h.Interval() + time.Second)
			running, _ = b.running()
			require.Equal(t, 48, running, "the next owner's term is renewed")
		})
	})
}

func TestLeaseLapsesWhileItsHolderIsPaused(t *testing.T) {
	run(t, 8, func(b *bench) {
		h := b.start("h0")
		b.sleep(time.Minute)
		h.pause.Stop()
		b.sleep(h.Duration() + time.Second)
		running, _ := b.running()
		require.Zero(t, running, "stopped by the workers themselves")
		b.set(func() {
			for _, w := range b.workers {
				w.term = fleet.Term{Counter: 7, Host: "h1"}
			}
		})
		h.pause.Resume()
		b.sleep(2 * time.Second)
		running, _ = b.running()
		require.Zero(t, running, "the woken host's term is refused")
		b.set(func() { require.Contains(t, h.fenced, fleet.Term{Counter: 7, Host: "h1"}) })
		require.Empty(t, b.lost(h), "a worker that refuses is not lost")
	})
}

func TestLeaseOfASuspectWorkerIsCheckedAtOnce(t *testing.T) {
	run(t, 480, func(b *bench) {
		h, o := b.start("h0"), b.start("h1")
		b.sleep(time.Minute)
		name := h.Workers()[3]
		other := o.Workers()[3]
		var w *worker
		b.set(func() {
			for _, x := range b.workers {
				if x.info.Name == name {
					w = x
				}
			}
			w.isSilent = true
		})
		start := time.Now()
		h.Suspect(name)
		h.Suspect(other)
		b.sleep(3 * time.Second)
		require.Contains(t, b.lost(h), name)
		took := b.lost(h)[name].Sub(start)
		t.Logf("a silent worker is lost %s after a failed call, renewed every %s else", took, h.Interval())
		require.LessOrEqual(t, took, 3*time.Second)
		require.NotContains(t, b.lost(h), other, "a worker that answers is not lost")
		require.NotContains(t, h.Workers(), other, "and stays with its host")
		b.set(func() { w.isSilent = false })
		b.sleep(10 * time.Second)
		h.Suspect(name)
		running, _ := b.running()
		require.Equal(t, 480, running)
	})
}

func TestLeaseOfASilentWorkerIsFoundLost(t *testing.T) {
	run(t, 160, func(b *bench) {
		h := b.start("h0")
		b.sleep(time.Minute)
		name := h.Workers()[0]
		b.set(func() {
			for _, x := range b.workers {
				x.isSilent = x.info.Name == name
			}
		})
		start := time.Now()
		b.sleep(h.Interval() + 4*time.Second)
		require.Len(t, b.lost(h), 1)
		t.Logf("without a failed call a silent worker of 160 is lost after %s", b.lost(h)[name].Sub(start))
	})
}

func TestLeasesTellOfChangedWorkers(t *testing.T) {
	run(t, 8, func(b *bench) {
		h := b.start("h0")
		b.sleep(time.Minute)
		b.set(func() {
			require.Len(t, h.changed, 8, "each worker once")
			h.changed = nil
			for _, w := range b.workers {
				if w.info.Name == "worker-003" {
					w.tasks = []fleet.TaskReport{{Task: fleet.Task{Ref: fleet.TaskRef{Job: "j", Attempt: 1}}, State: fleet.TaskRunning}}
				}
			}
		})
		b.sleep(10 * time.Second)
		b.set(func() {
			require.Equal(t, []string{"worker-003"}, h.changed)
			for _, w := range b.workers {
				w.isSilent = w.info.Name == "worker-004"
				for i := range w.tasks {
					w.tasks[i].State = fleet.TaskDone
				}
			}
		})
		b.sleep(10 * time.Second)
		b.set(func() {
			counts := make(map[string]int)
			for _, w := range h.changed {
				counts[w]++
			}
			require.Len(t, counts, 2)
			require.Equal(t, 2, counts["worker-003"], "once for each change")
			require.Greater(t, counts["worker-004"], 1, "again for each renewal that a lost worker misses")
		})
	})
}

func TestLeaseThatAHelperCannotRenewIsRenewedByTheOwner(t *testing.T) {
	nettest.Both(t, "told again", "tells once", func(t *testing.T, mutate bool) {
		run(t, 48, func(b *bench) {
			owner, helper := b.start("h0"), b.start("h1", func(l *Leases) { l.tellsOnce = mutate })
			b.sleep(time.Minute)
			cut := helper.Workers()[0]
			b.set(func() {
				helper.owner = owner
				for _, w := range b.workers {
					if w.info.Name == cut {
						w.silentFor = "h1"
					}
				}
			})
			b.sleep(10 * time.Minute)
			running, lapses := b.running()
			if mutate {
				require.Equal(t, 47, running, "one renewal by the owner is not enough")
				return
			}
			require.Equal(t, 48, running)
			require.Zero(t, lapses)
			require.NotContains(t, b.lost(owner), cut)
		})
	})
}

// BenchmarkLeases measures a second of renewals of one host, by workers of its share.
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
				for range int(time.Second / tickEvery) {
					now = now.Add(tickEvery)
					l.updateShare()
					l.renewDue(b.Context())
					l.tasks.Wait()
				}
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(renewed)*defaultSize/seconds, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/1e4, "%core")
			b.ReportMetric(l.Interval().Seconds(), "s/interval")
		})
	}
}
