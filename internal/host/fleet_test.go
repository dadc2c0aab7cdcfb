package host

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	attempts = 3
	maxHold  = 4 * time.Second
)

var testConfig = &queue.Config{
	Version: 1,
	Queues: []queue.Queue{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Urgency: config.Urgent, MaxAttempts: attempts},
		{Name: "quiet", Host: "h", Prefix: "/quiet/", Urgency: config.Quiet, MaxAttempts: attempts},
	},
	Organisations: []queue.Organisation{{Name: "Gear", Accelerators: 8}},
	Keys:          map[string]string{"k": "Gear"},
}

// decodeTestConfig returns the configuration of the version that an entry holds; from version 2 on it has no keys.
func decodeTestConfig(e port.Entry) (*queue.Config, error) {
	v, err := strconv.ParseInt(string(e.Value), 10, 64)
	if err != nil || v == testConfig.Version {
		return testConfig, err
	}
	c := *testConfig
	c.Version, c.Keys = v, map[string]string{}
	return &c, nil
}

// site is a whole deployment in memory: store, workers and hosts.
type site struct {
	t       *testing.T
	store   *standin.Store
	runners *standin.Runners
	mu      sync.Mutex
	hosts   map[string]*Host
	// names are those of all hosts that ever were, in order.
	names []string
	stops []func()
	// dead hosts reach nothing.
	dead map[string]bool
	// cut names links between hosts and workers.
	cut map[[2]string]bool
	ids []string
	// listAfter is how long the list of the workers takes to reach a new owner.
	listAfter time.Duration
	// takes are what hosts serve for others, by address.
	takes map[netip.AddrPort]peerOf
	// holds are the calls by which hosts extended leases and acknowledged ends.
	holds []port.LeaseRenewal
	// suspended is for how long the machine of a host has been suspended, which its steady clock does not count.
	suspended map[string]time.Duration
	// answerAfter is how long the next answer of each worker is on its way; it is read at once and counts one time.
	answerAfter map[netip.AddrPort]time.Duration
	// workers are those that the platform lists.
	workers []fleet.Worker
	// starts counts the orders to start a task, by the worker's address.
	starts map[netip.AddrPort]int
	// log shows what the hosts log when a test is run with SITE_LOG set.
	log *slog.Logger
}

// inSite runs a test with a deployment of the given hosts and 6 workers of 8 accelerators in 3 racks.
func inSite(t *testing.T, plan standin.RunPlan, hosts []string, f func(s *site)) {
	t.Helper()
	ws := make([]fleet.Worker, 6)
	for i := range ws {
		ws[i] = testWorker(i)
	}
	inSiteOf(t, ws, plan, hosts, f)
}

// inSiteOf runs a test with a deployment of the given hosts and workers.
func inSiteOf(t *testing.T, workers []fleet.Worker, plan standin.RunPlan, hosts []string, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.System()
		s := &site{
			t: t, store: standin.NewStore(c, 2*time.Millisecond), hosts: map[string]*Host{}, dead: map[string]bool{},
			cut: map[[2]string]bool{}, takes: map[netip.AddrPort]peerOf{}, workers: workers, suspended: map[string]time.Duration{}, starts: map[netip.AddrPort]int{}, log: slog.New(slog.DiscardHandler),
		}
		if os.Getenv("SITE_LOG") != "" {
			s.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		}
		s.runners = standin.NewRunners(c, standin.RunBounds{Attempts: attempts, MaxHold: maxHold, StopTimeout: 800 * time.Millisecond, GangTimeout: 3 * time.Second}, plan)
		s.runners.SetCut(s.isCut)
		for _, w := range workers {
			s.runners.Add(w)
		}
		_, err := s.store.View("operator").Append(s.t.Context(), port.Append{Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte("1")}}})
		require.NoError(t, err)
		for _, h := range hosts {
			s.start(h)
		}
		defer func() {
			for _, stop := range s.stops {
				stop()
			}
		}()
		f(s)
	})
}

var testOperators = port.Topic{Name: "op", IsKeyed: true}

func testWorker(i int) fleet.Worker {
	return fleet.Worker{
		Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Slots: 1 << 20, Accelerators: 8, Processors: 64,
		Memory: fleet.Gigabyte, Addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)),
	}
}

func (s *site) isCut(host, worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[host] || s.cut[[2]string{host, worker}]
}

// start starts a host, under its own name in the store and towards the workers.
func (s *site) start(name string) {
	x := &setup.Site{
		Host: setup.SiteHost{Name: name, Domain: "d"},
		Bounds: setup.Bounds{
			MaxHold: maxHold, StopTimeout: 800 * time.Millisecond, Claim: 3 * time.Second, GangTimeout: 3 * time.Second,
			Revoke: 5 * time.Second, KeepEnded: time.Minute, Grace: 5 * time.Second,
		},
		Limits: setup.SiteLimits{MaxOpenJobs: 1000, Processors: s.share(name)},
	}
	x.Listen.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(len(s.names) + 1)}), 1)
	h := New(x, Outside{
		Store: s.store.View(name), Runners: s.runnersOf(name), ConfigTopic: testOperators,
		FollowRunners: func(ctx context.Context, put func(port.Runner), _ func(string)) error {
			if err := clock.System().Sleep(ctx, s.listAfter); err != nil {
				return nil
			}
			for _, w := range s.workers {
				put(port.Runner{Worker: w})
			}
			<-ctx.Done()
			return nil
		},
		DecodeConfig: decodeTestConfig,
		Callers: func(func(context.Context, intake.Request) (intake.Reply, error), *slog.Logger) http.Handler {
			return http.NotFoundHandler()
		},
		Peers: port.Peers{Call: func(ctx context.Context, to netip.AddrPort, method string, q, r proto.Message) error {
			return s.callPeer(ctx, name, to, method, q, r)
		}},
		ServePeers: func(ctx context.Context, _ net.Listener, served Served) error {
			s.mu.Lock()
			s.takes[x.Listen.Peer] = peerOf{name, served}
			s.mu.Unlock()
			<-ctx.Done()
			return nil
		},
		Listen: func(netip.AddrPort) (net.Listener, error) { return newDeaf(), nil },
	}, WithLog(s.log.With("Host", name)), WithClock(s.clockOf(name)))
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	s.hosts[name] = h
	s.names = append(s.names, name)
	s.stops = append(s.stops, func() {
		cancel()
		<-done
	})
}

// clockOf returns the clock of the machine of a host.
func (s *site) clockOf(name string) clock.Clock {
	c := clock.System()
	c.Suspended = func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.suspended[name]
	}
	return c
}

// suspend lets the machine of a host miss some time as a whole: nothing ran there, and its steady clock stood still.
func (s *site) suspend(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended[name] += d
	s.holds = nil
}

// peerOf is a host as others call it.
type peerOf struct {
	name   string
	served Served
}

// callPeer passes a request on to the host at an address, unless one of the two is dead or the way between them is cut.
func (s *site) callPeer(ctx context.Context, from string, to netip.AddrPort, _ string, q, r proto.Message) error {
	s.mu.Lock()
	p, ok := s.takes[to]
	isCut := !ok || s.dead[from] || s.dead[p.name] || s.cut[[2]string{from, p.name}]
	s.mu.Unlock()
	if isCut {
		return port.ErrUnsent
	}
	if x, ok := q.(*wire.TakeRequest); ok {
		return p.served.Take(ctx, x, r.(*wire.TakeReply))
	}
	return p.served.Workers(ctx, q.(*wire.Empty), r.(*wire.WorkersReply))
}

// countStarts returns how many orders to start a task a worker was sent.
func (s *site) countStarts(w fleet.Worker) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[w.Addr]
}

// runnersOf returns the workers as a host reaches them, and notes the calls that start tasks and hold them.
func (s *site) runnersOf(host string) port.Runners {
	v := s.runners.View(host)
	start, hold := v.Start, v.Renew
	v.Start = func(ctx context.Context, to netip.AddrPort, x port.RunStart) (time.Duration, error) {
		s.mu.Lock()
		s.starts[to]++
		s.mu.Unlock()
		return start(ctx, to, x)
	}
	v.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
		s.mu.Lock()
		s.holds = append(s.holds, h)
		late := s.answerAfter[to]
		delete(s.answerAfter, to)
		s.mu.Unlock()
		if late == 0 {
			return hold(ctx, to, h)
		}
		h.Wait = 0
		r, err := hold(ctx, to, h)
		time.Sleep(late)
		return r, err
	}
	return v
}

// live returns the names of the hosts that are not dead, in order.
func (s *site) live() []string {
	var out []string
	for _, n := range s.names {
		if s.hosts[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

// share returns the share of a processor that a host has; those named weak have little.
func (s *site) share(name string) float64 {
	if strings.HasPrefix(name, "weak") {
		return 0.1
	}
	return 1
}

// kill takes a host away from everything, for good.
func (s *site) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[name] = true
	s.store.SetSilent(name, true)
	delete(s.hosts, name)
}

// leave has a host stop as asked to, and returns at once.
func (s *site) leave(name string) {
	go s.stops[slices.Index(s.names, name)]()
}

// owner returns the name of the host that owns the jobs, as any host has read.
func (s *site) owner() string {
	for _, h := range s.hosts {
		if o := h.elect.Owner(); s.hosts[o.Host] != nil {
			return o.Host
		}
	}
	return ""
}

// submit hands a job in at a host and returns its id.
func (s *site) submit(host, id, q string, steps ...jobs.Step) error {
	h := s.hosts[host]
	c, err := h.intake.Admit("h", "/"+q+"/"+id, "k")
	if err != nil {
		return err
	}
	err = h.intake.Submit(s.t.Context(), c, &jobs.Job{ID: id, Spec: id, Steps: steps}, 3*time.Second)
	if err == nil && !slices.Contains(s.ids, id) {
		s.ids = append(s.ids, id)
	}
	return err
}

func (s *site) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// requireEnded waits until every accepted job has the state at every host, and that no promise was broken.
func (s *site) requireEnded(want intake.Progress, within time.Duration) {
	s.t.Helper()
	until := time.Now().Add(within)
	for {
		open := ""
		for n, h := range s.hosts {
			for _, id := range s.ids {
				if p, err := h.intake.GetProgress(s.t.Context(), id); err != nil || p != want {
					open = fmt.Sprintf("%s at %s: state %d, error %v", id, n, p, err)
				}
			}
		}
		if open == "" {
			break
		}
		if time.Now().After(until) {
			require.Fail(s.t, "jobs have not ended", open)
		}
		s.wait(100 * time.Millisecond)
	}
	require.Empty(s.t, s.runners.Faults())
}

// deaf is a listener to which nobody connects.
type deaf struct{ closed chan struct{} }

func newDeaf() *deaf { return &deaf{make(chan struct{})} }

func (d *deaf) Accept() (net.Conn, error) {
	<-d.closed
	return nil, net.ErrClosed
}

func (d *deaf) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return nil
}

func (d *deaf) Addr() net.Addr { return &net.TCPAddr{} }

// takes plans every run to take the given time and to end well.
func takes(d time.Duration) standin.RunPlan {
	return func(port.RunRef, string) standin.RunFate { return standin.RunFate{Work: d, Result: jobs.Done} }
}

func gang(tasks, accs int) jobs.Step {
	return jobs.Step{Tasks: tasks, Accelerators: accs, Processors: 1, Gang: true, Adjacent: true, Estimate: time.Second}
}

func tasks(n int, after ...int) jobs.Step {
	return jobs.Step{Tasks: n, Accelerators: 1, Processors: 1, Estimate: time.Second, After: after}
}
