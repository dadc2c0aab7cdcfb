package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	platformName   = "platform"
	callerName     = "caller"
	slotsPerWorker = 8
)

var platformAddr = netip.MustParseAddrPort("127.0.0.1:7000")

// cluster runs daemons, workers and a platform in one process over an in-memory network.
type cluster struct {
	t        *testing.T
	net      *network
	platform *standin.Platform
	workers  map[string]*standin.Worker
	hosts    map[string]*host
	domains  []string
	http     *http.Client
	servers  []*http.Server
	// keyFile is the operators' key file of the hosts that are started next.
	keyFile string
}

type host struct {
	name   string
	index  int
	daemon *Daemon
	stop   context.CancelFunc
	done   chan struct{}
}

// newCluster starts the given number of hosts and workers in each failure domain.
func newCluster(t *testing.T, domains []string, hosts, workers int) *cluster {
	c := &cluster{
		t:        t,
		net:      newNetwork(),
		platform: standin.NewPlatform(),
		workers:  map[string]*standin.Worker{},
		hosts:    map[string]*host{},
		domains:  domains,
	}
	c.http = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       c.dialer(callerName),
	}}
	c.serve(platformName, platformAddr, c.platform.Handler())
	for i, d := range domains {
		for j := range workers {
			c.addWorker(d, i, j)
		}
	}
	for i, d := range domains {
		for j := range hosts {
			c.register(fmt.Sprintf("%s-%d", d, j+1), d, i*10+j+1)
		}
	}
	for i, d := range domains {
		for j := range hosts {
			c.start(fmt.Sprintf("%s-%d", d, j+1), d, i*10+j+1)
		}
	}
	return c
}

func (c *cluster) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, a string) (net.Conn, error) {
		return c.net.dial(ctx, from, netip.MustParseAddrPort(a))
	}
}

func (c *cluster) serve(name string, a netip.AddrPort, h http.Handler) {
	l, err := c.net.listen(name, a)
	require.NoError(c.t, err)
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (c *cluster) addWorker(domain string, i, j int) {
	name := fmt.Sprintf("%s-w%d", domain, j+1)
	a := c.workerAddr(i, j)
	info := store.Worker{
		Name: name, Domain: domain, Rack: fmt.Sprintf("%s-r%d", domain, j/4+1), Addr: a,
		Slots: slotsPerWorker, Connections: 64, Accelerators: slotsPerWorker, Processors: 128, MemoryBytes: 512 << 30,
	}
	w := standin.NewWorker(info)
	c.workers[name] = w
	c.serve(name, a, w.Handler())
	c.platform.Register(standin.Registration{Workers: []store.Worker{info}})
}

// workerAddr returns the address of worker j of failure domain i.
func (c *cluster) workerAddr(i, j int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i + 1), byte(j / 200), byte(j%200 + 1)}), 7100)
}

func listenAddr(n, service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}), uint16(7200+service))
}

func (c *cluster) register(name, domain string, n int) {
	c.platform.Register(standin.Registration{Hosts: []store.Host{{Name: name, Domain: domain, Addr: listenAddr(n, 0)}}})
}

func settingsFor(name, domain string, n int, domains []string) *setup.Settings {
	text := fmt.Sprintf("[Host]\nName=%s\nDomain=%s\nDomains=", name, domain)
	for i, d := range domains {
		if i > 0 {
			text += ","
		}
		text += d
	}
	text += fmt.Sprintf("\n[Listen]\nPeer=%s\nCaller=%s\nOperator=%s\nStatus=%s\n",
		listenAddr(n, 0), listenAddr(n, 1), listenAddr(n, 2), listenAddr(n, 3))
	text += fmt.Sprintf("[Platform]\nLog=%s\nHosts=%s\n", platformAddr, platformAddr)
	s, err := setup.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return s
}

// start runs a host. The name of a killed host can be used again.
func (c *cluster) start(name, domain string, n int) {
	r := rest.New(rest.WithDial(c.dialer(name)))
	s := settingsFor(name, domain, n, c.domains)
	s.Operators.KeyFile = c.keyFile
	d, err := New(s, Deps{
		Workers: worker.New(r),
		Log:     store.NewLog(r, platformAddr),
		Hosts:   store.NewHosts(r, platformAddr),
		Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return c.net.dial(ctx, name, a)
		},
		Listen: func(a netip.AddrPort) (net.Listener, error) { return c.net.listen(name, a) },
	})
	require.NoError(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	h := &host{name: name, index: n, daemon: d, stop: stop, done: make(chan struct{})}
	c.hosts[name] = h
	go func() {
		defer close(h.done)
		_ = d.Run(ctx)
	}()
}

// crash disconnects a host at once. The returned function ends its goroutines and may block for a while.
func (c *cluster) crash(name string) (end func()) {
	h := c.hosts[name]
	c.isolate(name)
	c.net.reset(name)
	delete(c.hosts, name)
	return func() {
		h.stop()
		<-h.done
		c.rejoin(name)
	}
}

// kill crashes a host and waits until its goroutines have ended.
func (c *cluster) kill(name string) {
	c.crash(name)()
}

// isolate cuts all links of a host.
func (c *cluster) isolate(name string) { c.cutAll(name, true) }

// rejoin restores all links of a host.
func (c *cluster) rejoin(name string) { c.cutAll(name, false) }

func (c *cluster) cutAll(name string, cut bool) {
	names := []string{platformName, callerName}
	for o := range c.hosts {
		names = append(names, o)
	}
	for w := range c.workers {
		names = append(names, w)
	}
	for _, o := range names {
		if o != name {
			c.net.setCut(name, o, cut)
		}
	}
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		<-h.done
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.net.close()
	c.http.CloseIdleConnections()
	// Let data in flight arrive before the bubble ends.
	time.Sleep(time.Second)
	synctest.Wait()
}

// owner returns the name of the host that may act as the owner of a failure domain, or an empty string.
func (c *cluster) owner(domain string) string {
	for n, h := range c.hosts {
		if h.daemon.settings.Host.Domain == domain && h.daemon.owner.Check() == nil {
			return n
		}
	}
	return ""
}

// eventually polls until f returns true, and fails the test after the bound.
func (c *cluster) eventually(bound time.Duration, what string, f func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > bound {
			c.logTimeline()
			require.Fail(c.t, "not in time", "%s within %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// logTimeline logs the time line of each host.
func (c *cluster) logTimeline() {
	for _, h := range c.hosts {
		es, _ := h.daemon.ring.Find(allEvents)
		for _, e := range es {
			c.t.Logf("%s %s %s job=%s worker=%s %s", e.At.Time().Format("15:04:05.000"), e.Host, e.Kind, e.Job, e.Worker, e.Text)
		}
	}
}

// configure publishes profiles and organisations by appending them to the log directly.
func (c *cluster) configure(ps []config.Profile, orgs ...string) {
	change := &wire.ConfigChange{Operator: "test", Reason: "test"}
	for _, o := range orgs {
		b, err := json.Marshal(config.Organisation{Name: o, Weight: 1})
		require.NoError(c.t, err)
		change.Items = append(change.Items, &wire.ConfigItem{Kind: "Organisation", Name: o, Json: b})
	}
	for _, p := range ps {
		b, err := json.Marshal(p)
		require.NoError(c.t, err)
		change.Items = append(change.Items, &wire.ConfigItem{Kind: "Profile", Name: p.Name, Json: b})
	}
	c.appendChange("setup", change)
}

func (c *cluster) appendChange(id string, change *wire.ConfigChange) {
	b, err := proto.Marshal(&wire.Record{Id: id, Body: &wire.Record_Config{Config: change}})
	require.NoError(c.t, err)
	c.platform.Append([][]byte{b})
}

// announceStop publishes a planned stop.
func (c *cluster) announceStop(s config.Stop) {
	b, err := json.Marshal(s)
	require.NoError(c.t, err)
	c.appendChange("stop-"+s.Name, &wire.ConfigChange{
		Operator: "test", Reason: s.Reason, Items: []*wire.ConfigItem{{Kind: "Stop", Name: s.Name, Json: b}},
	})
}

// awaitReady waits until every host is ready with the published configuration, every failure domain has an owner with
// workers, and every host knows all owners.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.eventually(30*time.Second, "all hosts ready", func() bool {
		for _, h := range c.hosts {
			if h.daemon.notReadyReason() != "" || len(h.daemon.config.Config().Profiles) == 0 {
				return false
			}
		}
		for _, d := range c.domains {
			o := c.owner(d)
			if o == "" || c.hosts[o].daemon.sched.Summary().Accelerators == 0 {
				return false
			}
			for _, h := range c.hosts {
				if _, ok := h.daemon.findOwner(d); !ok {
					return false
				}
			}
		}
		return true
	})
}

// submit posts a job to a host and returns the status and the view.
func (c *cluster) submit(name string, q entry.JobRequest) (int, entry.JobView) {
	b, err := json.Marshal(q)
	require.NoError(c.t, err)
	return c.callJobs(name, http.MethodPost, "/v1/jobs", b)
}

func (c *cluster) callJobs(name, method, path string, body []byte) (int, entry.JobView) {
	h := c.hosts[name]
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+listenAddr(h.index, 1).String()+path, bytes.NewReader(body))
	require.NoError(c.t, err)
	p, err := c.http.Do(r)
	if err != nil {
		return 0, entry.JobView{}
	}
	defer func() { _ = p.Body.Close() }()
	all, err := io.ReadAll(p.Body)
	require.NoError(c.t, err)
	var v entry.JobView
	require.NoError(c.t, json.Unmarshal(all, &v), string(all))
	return p.StatusCode, v
}

// awaitOutcome polls a host until a job has ended.
func (c *cluster) awaitOutcome(name, job string, bound time.Duration) *wire.Outcome {
	c.t.Helper()
	var o *wire.Outcome
	c.eventually(bound, "end of "+job, func() bool {
		_, v := c.callJobs(name, http.MethodGet, "/v1/jobs/"+job+"?WaitMillis=1000", nil)
		o = v.Outcome
		return o != nil
	})
	return o
}

func (c *cluster) getAnswer(name, job string) []byte {
	h := c.hosts[name]
	p, err := c.http.Get("http://" + listenAddr(h.index, 1).String() + "/v1/jobs/" + job + "/answer")
	require.NoError(c.t, err)
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	require.NoError(c.t, err)
	return b
}

// countStarts returns how often each task of a job was started, by attempt and task.
func (c *cluster) countStarts(job string) map[fleet.TaskRef]int {
	out := map[fleet.TaskRef]int{}
	for _, w := range c.workers {
		for _, s := range w.Starts() {
			if s.Job == job {
				out[fleet.TaskRef{Job: job, Attempt: s.Attempt, Task: s.Task}]++
			}
		}
	}
	return out
}

func encodeWork(run time.Duration, answer int) []byte {
	b, err := json.Marshal(standin.Work{RunMillis: run.Milliseconds(), AnswerBytes: answer})
	if err != nil {
		panic(err)
	}
	return b
}

var (
	urgentProfile = config.Profile{
		Name: "registration", Urgency: config.Urgent, WaitBound: 3600 * time.Millisecond, Once: true,
		RunTime: time.Second,
	}
	auditProfile = config.Profile{
		Name: "audit", Urgency: config.Quiet, WaitBound: time.Hour, Stoppable: true,
		ReclaimBound: time.Second, RunTime: time.Minute,
	}
	threeDomains = []string{"east", "north", "west"}
)

// runInCluster runs f in a synctest bubble with three failure domains of three hosts and four workers each.
func runInCluster(t *testing.T, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 3, 4)
		defer c.close()
		c.configure([]config.Profile{urgentProfile, auditProfile}, "harbour", "quay")
		c.awaitReady()
		f(c)
	})
}
