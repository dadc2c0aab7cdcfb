package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
	"github.com/stretchr/testify/require"
)

var (
	addr      = netip.MustParseAddrPort("127.0.0.1:9")
	olderTerm = fleet.Term{Counter: 1, Host: "a"}
	newerTerm = fleet.Term{Counter: 2, Host: "a"}
)

func workerInfo() store.Worker {
	return store.Worker{
		Name: "r1-w1", Domain: "north-quay", Rack: "r1", Addr: addr, Slots: 8, Connections: 64,
		Accelerators: 8, Processors: 128, MemoryBytes: int64(512 * fleet.Gigabyte),
	}
}

func tasks(job string, n int, w standin.Work) []fleet.Task {
	b, _ := json.Marshal(w)
	var ts []fleet.Task
	for i := range n {
		ts = append(ts, fleet.Task{
			Ref:   fleet.TaskRef{Job: job, Attempt: 1, Task: i},
			Shape: fleet.Shape{Tasks: n, Accelerators: 1, Processors: 1, Adjacent: fleet.LevelRack},
			Work:  b,
		})
	}
	return ts
}

func refs(ts []fleet.Task) []fleet.TaskRef {
	var rs []fleet.TaskRef
	for _, t := range ts {
		rs = append(rs, t.Ref)
	}
	return rs
}

type fixture struct {
	port.Workers
	worker *standin.Worker
	client *rest.Client
}

// withWorker runs f with a worker that is called through the HTTP adapter, on a synthetic clock.
func withWorker(t *testing.T, f func(t *testing.T, ctx context.Context, b fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := standin.NewWorker(workerInfo(), standin.WithUsageLag(time.Second))
		c := rest.New(rest.WithDial(standin.PipeDialer(map[netip.AddrPort]http.Handler{addr: w.Handler()})))
		defer c.Close()
		f(t, t.Context(), fixture{worker.New(c), w, c})
	})
}

func (b fixture) lease(t *testing.T, term fleet.Term, d time.Duration) fleet.Report {
	t.Helper()
	r, err := b.Renew(t.Context(), addr, fleet.Lease{Term: term, Duration: d})
	require.NoError(t, err)
	return r
}

func (b fixture) fault(t *testing.T, f standin.Fault) {
	t.Helper()
	q := rest.Request{Method: http.MethodPost, Addr: addr, Path: "/fault", Body: f}
	require.NoError(t, b.client.JSON(t.Context(), q, nil))
}

func TestWorkerRunsGangToCompleteAnswer(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		ts := tasks("j1", 2, standin.Work{RunMillis: 300, AnswerBytes: 1001, MemoryBytes: 7})
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
		require.Equal(t, fleet.TaskPrepared, b.lease(t, olderTerm, time.Minute).Tasks[0].State)
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(ts)))
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(ts)))
		time.Sleep(time.Second)
		r := b.lease(t, olderTerm, time.Minute)
		require.Equal(t, workerInfo().Name, r.Worker.Name)
		require.Equal(t, fleet.TaskDone, r.Tasks[1].State)
		require.EqualValues(t, 1001, r.Tasks[1].AnswerBytes)
		a, err := b.Answer(ctx, addr, ts[1].Ref)
		require.NoError(t, err)
		require.Equal(t, standin.Answer("j1", 1, 1001), a)
		require.Len(t, b.worker.Starts(), 2)
		require.NoError(t, b.Forget(ctx, addr, olderTerm, refs(ts)))
		require.Empty(t, b.lease(t, olderTerm, time.Minute).Tasks)
		require.ErrorIs(t, b.Start(ctx, addr, olderTerm, refs(ts)), port.ErrNoTask)
		require.ErrorIs(t, b.Prepare(ctx, addr, olderTerm, ts), port.ErrNoRoom)
	})
}

func TestWorkerFencesLowerTerm(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		ts := tasks("j1", 1, standin.Work{RunMillis: 5000})
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
		r, err := b.Inspect(ctx, addr, newerTerm)
		require.NoError(t, err)
		require.Equal(t, ts[0].Work, r.Tasks[0].Task.Work)
		_, err = b.Renew(ctx, addr, fleet.Lease{Term: olderTerm, Duration: time.Minute})
		require.ErrorIs(t, err, port.ErrFenced)
		require.ErrorIs(t, b.Prepare(ctx, addr, olderTerm, ts), port.ErrFenced)
		require.ErrorIs(t, b.Start(ctx, addr, olderTerm, refs(ts)), port.ErrFenced)
		require.ErrorIs(t, b.Stop(ctx, addr, olderTerm, refs(ts), 0), port.ErrFenced)
		require.ErrorIs(t, b.Throttle(ctx, addr, olderTerm, ts[0].Ref, 1), port.ErrFenced)
		require.ErrorIs(t, b.Forget(ctx, addr, olderTerm, refs(ts)), port.ErrFenced)
		require.NoError(t, b.Start(ctx, addr, newerTerm, refs(ts)))
	})
}

func TestWorkerStopsTasksWhenLeaseLapses(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Second)
		long := tasks("long", 1, standin.Work{RunMillis: 5000})
		short := tasks("short", 1, standin.Work{RunMillis: 900})
		idle := tasks("idle", 1, standin.Work{RunMillis: 1})
		for _, ts := range [][]fleet.Task{long, short, idle} {
			require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
		}
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(long)))
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(short)))
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, b.Start(ctx, addr, olderTerm, refs(idle)), port.ErrNoTask)
		r := b.lease(t, olderTerm, time.Second)
		require.Len(t, r.Tasks, 2)
		require.Equal(t, fleet.TaskStopped, r.Tasks[0].State)
		require.Equal(t, fleet.TaskDone, r.Tasks[1].State)
	})
}

func TestWorkerPreparesAllOrNone(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		require.ErrorIs(t, b.Prepare(ctx, addr, olderTerm, tasks("none", 1, standin.Work{})), port.ErrNoRoom)
		b.lease(t, olderTerm, time.Minute)
		require.ErrorIs(t, b.Prepare(ctx, addr, olderTerm, tasks("big", 9, standin.Work{})), port.ErrNoRoom)
		require.Empty(t, b.lease(t, olderTerm, time.Minute).Tasks)
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, tasks("fits", 8, standin.Work{})))
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, tasks("fits", 8, standin.Work{})))
	})
}

func TestWorkerStopKeepsCheckpoint(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		for _, x := range []struct {
			job   string
			grace time.Duration
			want  time.Duration
		}{
			{"saved", time.Second, 520 * time.Millisecond},
			{"cut", 0, 0},
		} {
			ts := tasks(x.job, 1, standin.Work{RunMillis: 5000})
			require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
			require.NoError(t, b.Start(ctx, addr, olderTerm, refs(ts)))
			time.Sleep(500 * time.Millisecond)
			require.NoError(t, b.Stop(ctx, addr, olderTerm, refs(ts), x.grace))
			time.Sleep(time.Second)
			r := b.lease(t, olderTerm, time.Minute)
			require.Equal(t, fleet.TaskStopped, r.Tasks[0].State)
			require.Equal(t, x.want, r.Tasks[0].Progress)
			require.NoError(t, b.Forget(ctx, addr, olderTerm, refs(ts)))
		}
	})
}

func TestWorkerThrottleSlowsTask(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		ts := tasks("j1", 1, standin.Work{RunMillis: 1000})
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(ts)))
		require.NoError(t, b.Throttle(ctx, addr, olderTerm, ts[0].Ref, 0.5))
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, fleet.TaskRunning, b.lease(t, olderTerm, time.Minute).Tasks[0].State)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, fleet.TaskDone, b.lease(t, olderTerm, time.Minute).Tasks[0].State)
	})
}

func TestWorkerReportsOnlyChanges(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		ts := tasks("j1", 8, standin.Work{RunMillis: 60_000})
		require.NoError(t, b.Prepare(ctx, addr, olderTerm, ts))
		require.Len(t, b.lease(t, olderTerm, time.Minute).Tasks, 8)
		p, err := b.worker.Renew(worker.RenewRequest{Term: olderTerm, LeaseMillis: 60_000, Since: 1 << 62})
		require.NoError(t, err)
		require.False(t, p.Partial)
		require.Len(t, p.Tasks, 8)
		p, err = b.worker.Renew(worker.RenewRequest{Term: olderTerm, LeaseMillis: 60_000, Since: p.Change})
		require.NoError(t, err)
		require.True(t, p.Partial)
		require.Empty(t, p.Tasks)
		require.Len(t, b.lease(t, olderTerm, time.Minute).Tasks, 8)
	})
}

func TestWorkerFaults(t *testing.T) {
	withWorker(t, func(t *testing.T, ctx context.Context, b fixture) {
		b.lease(t, olderTerm, time.Minute)
		ts := tasks("j1", 1, standin.Work{RunMillis: 100})
		b.fault(t, standin.Fault{LoseAnswers: 2, FailTasks: true})
		err := b.Prepare(ctx, addr, olderTerm, ts)
		require.Error(t, err)
		require.NotErrorIs(t, err, port.ErrNoRoom)
		b.fault(t, standin.Fault{Down: true})
		require.Error(t, b.Start(ctx, addr, olderTerm, refs(ts)))
		b.fault(t, standin.Fault{Freeze: true})
		require.ErrorIs(t, b.Start(ctx, addr, olderTerm, refs(ts)), context.DeadlineExceeded)
		b.fault(t, standin.Fault{})
		require.NoError(t, b.Start(ctx, addr, olderTerm, refs(ts)))
		time.Sleep(time.Second)
		require.Equal(t, fleet.TaskFailed, b.lease(t, olderTerm, time.Minute).Tasks[0].State)
	})
}

func TestPlatformLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.WithMaxRecords(3))
		c := rest.New(rest.WithDial(standin.PipeDialer(map[netip.AddrPort]http.Handler{addr: p.Handler()})))
		defer c.Close()
		l := store.NewLog(c, addr)
		ctx := t.Context()
		o, err := l.Append(ctx, [][]byte{[]byte("1"), []byte("2")})
		require.NoError(t, err)
		require.EqualValues(t, 1, o)
		g, err := l.Read(ctx, 2, 10, 0)
		require.NoError(t, err)
		require.Equal(t, "2", string(g.Records[0].Data))
		require.EqualValues(t, 3, g.Next)

		go func() {
			time.Sleep(5 * time.Second)
			p.Append([][]byte{[]byte("3"), []byte("4")})
		}()
		start := time.Now()
		g, err = l.Read(ctx, 3, 10, 20*time.Second)
		require.NoError(t, err)
		require.Len(t, g.Records, 2)
		require.Equal(t, 5*time.Second, time.Since(start))
		g, err = l.Read(ctx, 5, 10, time.Second)
		require.NoError(t, err)
		require.Empty(t, g.Records)

		g, err = l.Read(ctx, 1, 10, 0)
		require.ErrorIs(t, err, port.ErrExpired)
		require.EqualValues(t, 2, g.First)
	})
}

func TestPlatformLosesAnswerAfterAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		c := rest.New(rest.WithDial(standin.PipeDialer(map[netip.AddrPort]http.Handler{addr: p.Handler()})))
		defer c.Close()
		l := store.NewLog(c, addr)
		q := rest.Request{Method: http.MethodPost, Addr: addr, Path: "/fault", Body: standin.Fault{LoseAnswers: 1}}
		require.NoError(t, c.JSON(t.Context(), q, nil))
		_, err := l.Append(t.Context(), [][]byte{[]byte("x")})
		require.Error(t, err)
		g, err := l.Read(t.Context(), 1, 1, 0)
		require.NoError(t, err)
		require.Len(t, g.Records, 1)
	})
}

func TestPlatformListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.WithListLag(3 * time.Second))
		c := rest.New(rest.WithDial(standin.PipeDialer(map[netip.AddrPort]http.Handler{addr: p.Handler()})))
		defer c.Close()
		h := store.NewHosts(c, addr)
		p.Register(standin.Registration{Workers: []store.Worker{workerInfo()}})
		l, err := h.List(t.Context())
		require.NoError(t, err)
		require.Empty(t, l.Workers)
		time.Sleep(3 * time.Second)
		l, err = h.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, []fleet.Worker{workerInfo().ToFleet()}, l.Workers)
	})
}

func FuzzWorkerRequests(f *testing.F) {
	f.Add(worker.PathPrepare, []byte(`{"Term":{"Counter":1},"Tasks":[{"Ref":{"Job":"j"},"Work":"e30="}]}`))
	f.Add(worker.PathRenew, []byte(`{"LeaseMillis":-1,"Since":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		w := standin.NewWorker(workerInfo())
		r, err := http.NewRequest(http.MethodPost, "http://h/", bytes.NewReader(body))
		require.NoError(t, err)
		r.URL.Path = "/" + strings.TrimPrefix(path, "/")
		x := &recorder{header: http.Header{}}
		w.Handler().ServeHTTP(x, r)
	})
}

type recorder struct {
	header http.Header
	bytes  int
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(int)     {}
func (r *recorder) Write(b []byte) (int, error) {
	r.bytes += len(b)
	return len(b), nil
}

// BenchmarkRenew measures the body sizes of a lease renewal by the number of tasks on the worker.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{0, 8, 64} {
		for _, full := range []bool{false, true} {
			b.Run("Tasks"+strconv.Itoa(n)+"/Full"+strconv.FormatBool(full), func(b *testing.B) {
				i := workerInfo()
				i.Slots, i.Accelerators = 64, 64
				w := standin.NewWorker(i)
				p, err := w.Renew(worker.RenewRequest{Term: olderTerm, LeaseMillis: 600_000})
				require.NoError(b, err)
				q := worker.PrepareRequest{Term: olderTerm}
				for _, t := range tasks("j1", n, standin.Work{RunMillis: 60_000}) {
					q.Tasks = append(q.Tasks, worker.TaskFromFleet(t))
				}
				require.NoError(b, w.Prepare(q))
				var sent int
				since := p.Change
				for b.Loop() {
					m := worker.RenewRequest{Term: olderTerm, LeaseMillis: 600_000, Since: since}
					if full {
						m.Since = 0
					}
					p, err = w.Renew(m)
					require.NoError(b, err)
					since = p.Change
					out, _ := json.Marshal(m)
					in, _ := json.Marshal(p)
					sent = len(out) + len(in)
				}
				b.ReportMetric(float64(sent), "bytes/renewal")
			})
		}
	}
}

// BenchmarkRenewOnWire measures all bytes of a renewal without changes on its connection, headers included.
func BenchmarkRenewOnWire(b *testing.B) {
	w := standin.NewWorker(workerInfo())
	dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{addr: w.Handler()})
	var bytes atomic.Int64
	c := rest.New(rest.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
		x, err := dial(ctx, n, a)
		return trafficCountingConn{x, &bytes}, err
	}))
	defer c.Close()
	k := worker.New(c)
	l := fleet.Lease{Term: fleet.Term{Counter: 123, Host: "north-quay-1"}, Duration: time.Minute}
	_, err := k.Renew(b.Context(), addr, l)
	require.NoError(b, err)
	bytes.Store(0)
	for b.Loop() {
		_, err := k.Renew(b.Context(), addr, l)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/renewal")
}

type trafficCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c trafficCountingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c trafficCountingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
