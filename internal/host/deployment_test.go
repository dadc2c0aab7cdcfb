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
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	maxAttempts = 3
	maxHold     = 4 * time.Second
)

var testConfig = &queue.Config{
	Version: 1,
	Queues: []queue.Queue{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Urgency: config.Urgent, MaxAttempts: maxAttempts},
		{Name: "quiet", Host: "h", Prefix: "/quiet/", Urgency: config.Quiet, MaxAttempts: maxAttempts},
	},
	Organisations: []queue.Organisation{{Name: "Gear", Accelerators: 8}},
	Keys:          map[string]string{"k": "Gear"},
}

// decodeTestConfig returns the configuration for the version in an entry. Versions other than the first have no keys.
func decodeTestConfig(e port.Entry) (*queue.Config, error) {
	if e.Key != "config" {
		return nil, nil
	}
	v, err := strconv.ParseInt(string(e.Value), 10, 64)
	if err != nil || v == testConfig.Version {
		return testConfig, err
	}
	c := *testConfig
	c.Version, c.Keys = v, map[string]string{}
	return &c, nil
}

// site is a deployment in memory: store, workers and hosts.
type site struct {
	t       *testing.T
	store   *standin.Store
	runners *standin.Runners
	mu      sync.Mutex
	hosts   map[string]*Host
	// names are the names of all hosts ever started, in order.
	names []string
	stops []func()
	// dead hosts are cut off from store, workers and peers.
	dead map[string]bool
	// cut contains the cut links, from host to host or from host to worker.
	cut map[[2]string]bool
	ids []string
	// listDelay is the time until a new owner receives the worker list.
	listDelay time.Duration
	// peers are the peer handlers of the hosts, by address.
	peers map[netip.AddrPort]testPeer
	// holds records the calls by which hosts extended leases and acknowledged results.
	holds []port.LeaseRenewal
	// suspended is how long the machine of each host was suspended; the monotonic clock does not count this time.
	suspended map[string]time.Duration
	// reportDelay is how long the next report of each worker takes to reach the host. The worker makes the report without
	// delay, and the entry is removed after one use.
	reportDelay map[netip.AddrPort]time.Duration
	// workers are the workers that the platform lists.
	workers []fleet.Worker
	// starts counts the calls that start a task, by the address of the worker.
	starts map[netip.AddrPort]int
	// limits are those of the workers and of the hosts.
	limits standin.RunLimits
	// decode decodes the configuration; it may be replaced before the first host starts.
	decode func(e port.Entry) (*queue.Config, error)
	// disabled are the mechanisms of the planner that are switched off.
	disabled []plan.Mechanism
	// follow replaces the list of the workers if it is set.
	follow func(ctx context.Context, host string, put func(port.Runner), drop func(string)) error
	// log prints the log of the hosts if SITE_LOG is set, and discards it otherwise.
	log *slog.Logger
}

// runInSite runs f in a synctest bubble with the given hosts and 6 workers with 8 accelerators each in 3 racks.
func runInSite(t *testing.T, plan standin.RunPlan, hosts []string, f func(s *site)) {
	t.Helper()
	ws := make([]fleet.Worker, 6)
	for i := range ws {
		ws[i] = testWorker(i)
	}
	runInSiteWith(t, ws, plan, hosts, f)
}

// runInSiteWith runs f in a synctest bubble with the given hosts and workers.
func runInSiteWith(t *testing.T, workers []fleet.Worker, plan standin.RunPlan, hosts []string, f func(s *site)) {
	t.Helper()
	runInLimitedSite(t, testLimits, workers, plan, hosts, f)
}

// testLimits are the limits of the workers in most tests.
var testLimits = standin.RunLimits{Attempts: maxAttempts, MaxHold: maxHold, StopTimeout: 800 * time.Millisecond, GangTimeout: 3 * time.Second}

// runInLimitedSite runs f in a synctest bubble with the given hosts and workers, whose limits are given.
func runInLimitedSite(t *testing.T, limits standin.RunLimits, workers []fleet.Worker, plan standin.RunPlan, hosts []string, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.System()
		s := &site{
			t: t, store: standin.NewStore(c, 2*time.Millisecond), hosts: map[string]*Host{}, dead: map[string]bool{},
			cut: map[[2]string]bool{}, peers: map[netip.AddrPort]testPeer{}, workers: workers, suspended: map[string]time.Duration{}, starts: map[netip.AddrPort]int{}, log: slog.New(slog.DiscardHandler),
			limits: limits, decode: decodeTestConfig,
		}
		if os.Getenv("SITE_LOG") != "" {
			s.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		}
		s.runners = standin.NewRunners(c, limits, plan)
		s.runners.SetCut(s.isLinkCut)
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

func (s *site) isLinkCut(host, worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[host] || s.cut[[2]string{host, worker}]
}

// start starts a host, which uses its name at the store and the workers.
func (s *site) start(name string) {
	x := &setup.Site{
		Host: setup.SiteHost{Name: name, Domain: "d"},
		Bounds: setup.Bounds{
			MaxHold: s.limits.MaxHold, StopTimeout: s.limits.StopTimeout, Claim: 3 * time.Second, GangTimeout: s.limits.GangTimeout,
			Revoke: 5 * time.Second, KeepEnded: time.Minute, Grace: 5 * time.Second,
		},
		Limits: setup.SiteLimits{MaxOpenJobs: 1000, Processors: s.share(name)},
	}
	x.Plan.Disable = s.disabled
	x.Listen.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(len(s.names) + 1)}), 1)
	h := New(x, Deps{
		Store: s.store.View(name), Runners: s.runnersFor(name), ConfigTopic: testOperators,
		FollowRunners: func(ctx context.Context, put func(port.Runner), drop func(string)) error {
			if s.follow != nil {
				return s.follow(ctx, name, put, drop)
			}
			if err := clock.System().Sleep(ctx, s.listDelay); err != nil {
				return nil
			}
			for _, w := range s.workers {
				put(port.Runner{Worker: w})
			}
			<-ctx.Done()
			return nil
		},
		DecodeConfig: s.decode, DecodeEvacuation: decodeTestEvacuation,
		NewCallerHandler: func(CallerDeps) http.Handler {
			return http.NotFoundHandler()
		},
		Peers: port.Peers{Call: func(ctx context.Context, to netip.AddrPort, method string, q, r proto.Message) error {
			return s.callPeer(ctx, name, to, method, q, r)
		}},
		ServePeers: func(ctx context.Context, _ net.Listener, served PeerHandlers) error {
			s.mu.Lock()
			s.peers[x.Listen.Peer] = testPeer{name, served}
			s.mu.Unlock()
			<-ctx.Done()
			return nil
		},
		Listen: func(netip.AddrPort) (net.Listener, error) { return newIdleListener(), nil },
	}, WithLog(s.log.With("Host", name)), WithClock(s.clockFor(name)))
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

// clockFor returns the clock of the machine of a host.
func (s *site) clockFor(name string) clock.Clock {
	c := clock.System()
	c.Suspended = func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.suspended[name]
	}
	return c
}

// suspend simulates a suspension of the machine of a host that its monotonic clock did not count.
func (s *site) suspend(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended[name] += d
	s.holds = nil
}

// testPeer is a host as its peers call it.
type testPeer struct {
	name   string
	served PeerHandlers
}

// callPeer calls the host at an address, unless one of the two hosts is dead or the link between them is cut.
func (s *site) callPeer(ctx context.Context, from string, to netip.AddrPort, _ string, q, r proto.Message) error {
	s.mu.Lock()
	p, ok := s.peers[to]
	isCut := !ok || s.dead[from] || s.dead[p.name] || s.cut[[2]string{from, p.name}]
	s.mu.Unlock()
	if isCut {
		return port.ErrUnsent
	}
	if x, ok := q.(*wire.TakeRequest); ok {
		return p.served.Take(ctx, x, r.(*wire.TakeReply))
	}
	if x, ok := r.(*wire.LeadState); ok {
		return p.served.Lead(ctx, q.(*wire.Empty), x)
	}
	return p.served.Workers(ctx, q.(*wire.Empty), r.(*wire.WorkersReply))
}

// countStarts returns how many calls to start a task were sent to a worker.
func (s *site) countStarts(w fleet.Worker) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[w.Addr]
}

// runnersFor returns the workers as seen by a host, and records the calls that start tasks and extend leases.
func (s *site) runnersFor(host string) port.Runners {
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
		delay := s.reportDelay[to]
		delete(s.reportDelay, to)
		s.mu.Unlock()
		if delay == 0 {
			return hold(ctx, to, h)
		}
		h.Wait = 0
		r, err := hold(ctx, to, h)
		time.Sleep(delay)
		return r, err
	}
	return v
}

// liveHosts returns the names of the hosts that are not dead, in the order of their start.
func (s *site) liveHosts() []string {
	var out []string
	for _, n := range s.names {
		if s.hosts[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

// share returns the fraction of a processor that a host has: 0.1 if its name begins with weak, and 1 otherwise.
func (s *site) share(name string) float64 {
	if strings.HasPrefix(name, "weak") {
		return 0.1
	}
	return 1
}

// kill cuts a host off permanently.
func (s *site) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[name] = true
	s.store.SetUnresponsive(name, true)
	delete(s.hosts, name)
}

// stopHost starts a graceful shutdown of a host and returns at once.
func (s *site) stopHost(name string) {
	go s.stops[slices.Index(s.names, name)]()
}

// owner returns the name of the live host that owns the jobs according to any live host, or an empty string.
func (s *site) owner() string {
	for _, h := range s.hosts {
		if o := h.elect.Owner(); s.hosts[o.Host] != nil {
			return o.Host
		}
	}
	return ""
}

// submit submits a job at a host. Its id is added to the accepted ones.
func (s *site) submit(host, id, q string, steps ...jobs.Step) error {
	h := s.hosts[host]
	err := s.submitOnce("k", h, id, q, steps...)
	if err == nil && !slices.Contains(s.ids, id) {
		s.ids = append(s.ids, id)
	}
	return err
}

// submitOnce submits a job at a host with the given key.
func (s *site) submitOnce(key string, h *Host, id, q string, steps ...jobs.Step) error {
	c, err := h.intake.Admit("h", "/"+q+"/"+id, key)
	if err != nil {
		return err
	}
	return h.intake.Submit(s.t.Context(), c, &jobs.Job{ID: id, Spec: id, Steps: steps}, 3*time.Second)
}

func (s *site) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// requireEnded waits until every accepted job has the given state at every host, and checks that the workers detected no
// fault.
func (s *site) requireEnded(want intake.Progress, within time.Duration) {
	s.t.Helper()
	until := time.Now().Add(within)
	for {
		unfinished := ""
		for n, h := range s.hosts {
			for _, id := range s.ids {
				if p, err := h.intake.GetProgress(s.t.Context(), id); err != nil || p != want {
					unfinished = fmt.Sprintf("%s at %s: state %d, error %v", id, n, p, err)
				}
			}
		}
		if unfinished == "" {
			break
		}
		if time.Now().After(until) {
			require.Fail(s.t, "jobs have not ended", unfinished)
		}
		s.advance(100 * time.Millisecond)
	}
	require.Empty(s.t, s.runners.Faults())
}

// idleListener is a listener without connections.
type idleListener struct{ closed chan struct{} }

func newIdleListener() *idleListener { return &idleListener{make(chan struct{})} }

func (d *idleListener) Accept() (net.Conn, error) {
	<-d.closed
	return nil, net.ErrClosed
}

func (d *idleListener) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return nil
}

func (d *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// runsTaking makes every run succeed after the given time.
func runsTaking(d time.Duration) standin.RunPlan {
	return func(port.RunRef, string) standin.RunOutcome { return standin.RunOutcome{Work: d, Result: jobs.Done} }
}

func gangStep(tasks, accs int) jobs.Step {
	return jobs.Step{Tasks: tasks, Accelerators: accs, Processors: 1, Gang: true, Adjacent: true, Estimate: time.Second}
}

func taskStep(n int, after ...int) jobs.Step {
	return jobs.Step{Tasks: n, Accelerators: 1, Processors: 1, Estimate: time.Second, After: after}
}
