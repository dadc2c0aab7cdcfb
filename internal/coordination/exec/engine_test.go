package exec

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
)

var (
	testJobs   = port.Topic{Name: "jobs", IsKeyed: true}
	testConfig = &queue.Config{
		Version:       1,
		Queues:        []queue.Queue{{Name: "quiet", Urgency: config.Quiet, MaxAttempts: 3}},
		Organisations: []queue.Organisation{{Name: "Gear"}},
	}
	testBounds = Bounds{
		MaxHold: 4 * time.Second, StopTimeout: 800 * time.Millisecond, Claim: 3 * time.Second, GangTimeout: 3 * time.Second,
		KeepEnded: time.Minute,
	}
)

// rig is an engine with a store and workers in memory.
type rig struct {
	t        *testing.T
	store    *standin.Store
	runners  *standin.Runners
	view     port.Runners
	table    *jobs.Table
	follower *feed.Follower
	engine   *Engine
	workers  []fleet.Worker
	// entry returns the entry by which a worker is listed to a new engine; nil means one that names no lifetime.
	entry  func(w fleet.Worker) port.Runner
	bounds Bounds
	// change may replace the dependencies of each engine before it starts.
	change func(*Deps)
	// options are those of each engine.
	options []Option
	// put and drop change the worker list of the running engine.
	put  func(port.Runner)
	drop func(string)
	stop func()
	// newestToken is the newest token of the engine.
	newestToken atomic.Int64
	// gone is the address of a worker whose process has ended, so that no connection to it can be opened.
	gone atomic.Pointer[netip.AddrPort]
}

// runInRig runs f in a synctest bubble with an engine of term 1 and workers with 8 accelerators each.
func runInRig(t *testing.T, workers int, plan standin.RunPlan, f func(r *rig)) {
	t.Helper()
	runInBoundedRig(t, testBounds, workers, plan, f)
}

// runInBoundedRig is runInRig with other bounds.
func runInBoundedRig(t *testing.T, b Bounds, workers int, plan standin.RunPlan, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.System()
		limits := standin.RunLimits{MaxHold: b.MaxHold, StopTimeout: b.StopTimeout, GangTimeout: b.GangTimeout}
		r := &rig{t: t, store: standin.NewStore(c, 2*time.Millisecond), runners: standin.NewRunners(c, limits, plan), table: jobs.NewTable(), bounds: b}
		r.view = r.refuseGone(r.runners.View("a"))
		for i := range workers {
			w := testWorker(i)
			r.runners.Add(w)
			r.workers = append(r.workers, w)
		}
		ctx, cancel := context.WithCancel(t.Context())
		r.follower = feed.NewFollower(r.store.View("a"), testJobs, feed.Handler{Reload: r.reload, Apply: r.apply}, c, slog.New(slog.DiscardHandler))
		var wg sync.WaitGroup
		wg.Go(func() { _ = r.follower.Run(ctx) })
		r.start(1)
		defer func() {
			r.stop()
			cancel()
			wg.Wait()
		}()
		f(r)
	})
}

func testWorker(i int) fleet.Worker {
	return fleet.Worker{
		Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Slots: 1 << 20, Accelerators: 8, Processors: 64,
		Memory: fleet.Gigabyte, Addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)),
	}
}

// refuseGone sends no call to the worker that is gone.
func (r *rig) refuseGone(x port.Runners) port.Runners {
	isGone := func(to netip.AddrPort) bool { return r.gone.Load() != nil && *r.gone.Load() == to }
	return port.Runners{
		Start: func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
			if isGone(to) {
				return 0, port.ErrUnsent
			}
			return x.Start(ctx, to, s)
		},
		Stop: func(ctx context.Context, to netip.AddrPort, ref port.RunRef, token int64, worker string) error {
			if isGone(to) {
				return port.ErrUnsent
			}
			return x.Stop(ctx, to, ref, token, worker)
		},
		Renew: func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			if isGone(to) {
				return port.RunReport{}, port.ErrUnsent
			}
			return x.Renew(ctx, to, h)
		},
		BornAt: x.BornAt,
	}
}

func (r *rig) apply(e port.Entry) {
	require.NoError(r.t, r.table.Apply(e.Offset, jobs.Record{Key: e.Key, Value: e.Value}))
}

func (r *rig) reload(es []port.Entry, before int64) {
	var rs []jobs.StoredRecord
	for _, e := range es {
		rs = append(rs, jobs.StoredRecord{Record: jobs.Record{Key: e.Key, Value: e.Value}, Offset: e.Offset})
	}
	require.NoError(r.t, r.table.Reload(rs, before))
}

// renewInterval is the time between two renewals of a term.
const renewInterval = 400 * time.Millisecond

// start runs an engine for a term, or for the first one above all tokens of the one before; stop ends it and waits for its end.
func (r *rig) start(term int64) {
	since := time.Now()
	term = max(term, r.newestToken.Load()+1)
	r.newestToken.Store(term)
	d := Deps{
		NewestToken: func() int64 {
			r.newestToken.Store(term + int64(time.Since(since)/renewInterval))
			return r.newestToken.Load()
		},
		Store: r.store.View("a"), Runners: r.view, Jobs: testJobs, Table: r.table, Follower: r.follower,
		Config:        func() *queue.Config { return testConfig },
		FollowRunners: r.followRunners,
	}
	if r.change != nil {
		r.change(&d)
	}
	r.engine = New(d, r.bounds, term, append([]Option{WithLog(slog.New(slog.NewTextHandler(r.t.Output(), nil)))}, r.options...)...)
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.engine.Run(ctx)
	}()
	r.stop = func() {
		cancel()
		<-done
		synctest.Wait()
	}
}

func (r *rig) followRunners(ctx context.Context, put func(port.Runner), drop func(string)) error {
	r.put, r.drop = put, drop
	for _, w := range r.workers {
		if r.entry != nil {
			put(r.entry(w))
			continue
		}
		put(port.Runner{Worker: w})
	}
	<-ctx.Done()
	return nil
}

// submit stores the record of a job.
func (r *rig) submit(id string, steps ...jobs.Step) {
	r.t.Helper()
	j := &jobs.Job{ID: id, Organisation: "Gear", Queue: "quiet", Accepted: time.Now(), Steps: steps}
	x, err := jobs.JobRecord(j)
	require.NoError(r.t, err)
	r.append(x)
}

// restart ends the engine and starts one for the next term.
func (r *rig) restart() {
	r.stop()
	r.start(r.engine.term + 1)
}

// list starts and lists another worker.
func (r *rig) list(w fleet.Worker) {
	r.runners.Add(w)
	r.put(port.Runner{Worker: w})
}

// kill ends the process of a worker that stays listed.
func (r *rig) kill(w fleet.Worker) {
	r.gone.Store(&w.Addr)
	r.runners.Remove(w.Addr)
}

// append stores a record as another host.
func (r *rig) append(x jobs.Record) {
	r.t.Helper()
	_, err := r.store.View("b").Append(r.t.Context(), port.Append{Topic: testJobs, Entries: []port.Entry{{Key: x.Key, Value: x.Value}}})
	require.NoError(r.t, err)
}

// advance lets time pass.
func (r *rig) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// state returns the state of a job in the table.
func (r *rig) state(id string) (out jobs.State) {
	out = -1
	r.table.View(id, func(j *jobs.Job) {
		if j != nil {
			out = j.State
		}
	})
	return out
}

// waitForState waits until a job is in a state.
func (r *rig) waitForState(id string, want jobs.State, limit time.Duration) {
	r.t.Helper()
	for until := time.Now().Add(limit); r.state(id) != want; r.advance(10 * time.Millisecond) {
		require.True(r.t, time.Now().Before(until), "job %s is in state %d", id, r.state(id))
	}
}

// phases counts the units of a job by phase.
func (r *rig) phases(id string) map[phase]int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	out := map[phase]int{}
	for _, u := range r.engine.units {
		if u.job == id {
			out[u.phase]++
		}
	}
	return out
}

// requireRunning waits until all tasks of a job with one step run.
func (r *rig) requireRunning(id string, tasks int, limit time.Duration) {
	r.t.Helper()
	for until := time.Now().Add(limit); r.phases(id)[phaseRunning] != tasks; r.advance(10 * time.Millisecond) {
		require.True(r.t, time.Now().Before(until), "units of job %s are %v", id, r.phases(id))
	}
}

func runsTaking(d time.Duration) standin.RunPlan {
	return func(port.RunRef, string) standin.RunOutcome { return standin.RunOutcome{Work: d, Result: jobs.Done} }
}

func taskStep(n int) jobs.Step {
	return jobs.Step{Tasks: n, Accelerators: 1, Processors: 1, Memory: fleet.Megabyte, Estimate: time.Second}
}
