package tests

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	// readyBound ends a test whose fleet does not come up on a busy machine.
	readyBound = 30 * time.Second
	// outcomeBound ends the wait for a job.
	outcomeBound  = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
	workersEach   = 2
	slotsEach     = 8
	peerPort      = 7101
	callerPort    = 7102
	operatorPort  = 7103
	statusPort    = 7104
	workerPort    = 7200
	platformPort  = 7000
	shutdownBound = 8 * time.Second
)

// bin is the folder of the programs under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "auburncleat-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make folder for the programs:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	b, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, b)
		return 1
	}
	return m.Run()
}

const (
	// firstNet and lastNet bound the second numbers of the loopback addresses of a fleet; the demo uses lower ones.
	firstNet = 216
	lastNet  = 254
	lockPort = 6999
)

// takeNet returns the number of a /16 that no other fleet uses, also not one of another run, until the test ends.
func takeNet(t *testing.T) int {
	t.Helper()
	for n := firstNet; n <= lastNet; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, lockPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	require.Fail(t, "all networks are in use")
	return 0
}

// process is a program that the test has started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	// paused is set while the process is stopped by SIGSTOP.
	paused bool
}

// domain is a failure domain with the number of its hosts.
type domain struct {
	name  string
	hosts int
}

type host struct {
	name   string
	domain string
	ip     netip.Addr
}

// fleetRun is one platform with workers and hosts, all real processes.
type fleetRun struct {
	t        *testing.T
	net      int
	dir      string
	domains  []domain
	platform netip.AddrPort
	procs    map[string]*process
	hosts    map[string]host
	workers  []store.Worker
	client   *http.Client
	// platforms holds the addresses under which failure domains reach the platform, where they differ.
	platforms map[string]netip.AddrPort
	pins      int
	// workerAddr replaces the address under which a worker is listed.
	workerAddr func(netip.AddrPort) netip.AddrPort
}

// newFleet makes a fleet; nothing runs before start.
func newFleet(t *testing.T, domains ...domain) *fleetRun {
	f := &fleetRun{
		t:          t,
		net:        takeNet(t),
		dir:        t.TempDir(),
		domains:    domains,
		procs:      map[string]*process{},
		hosts:      map[string]host{},
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second},
		platforms:  map[string]netip.AddrPort{},
		workerAddr: func(a netip.AddrPort) netip.AddrPort { return a },
	}
	f.platform = f.addr(250, 1, platformPort)
	for i, d := range domains {
		for j := range d.hosts {
			name := fmt.Sprintf("%s-%d", d.name, j+1)
			f.hosts[name] = host{name: name, domain: d.name, ip: f.addr(i+1, j+1, 0).Addr()}
		}
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleetRun) addr(c, d, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.net), byte(c), byte(d)}), uint16(port))
}

// start runs the whole fleet and waits until each host is ready.
func (f *fleetRun) start() {
	f.t.Helper()
	f.run("platform", "standin", "platform", "--addr", f.platform.String(), "--lag", "0s")
	f.eventually(readyBound, "platform", func() bool { return f.get(f.platform, "/hosts", nil) == http.StatusOK })
	f.configure()
	f.startWorkers()
	f.enrollHosts()
	for _, h := range f.hosts {
		f.startHost(h.name)
	}
	for _, h := range f.hosts {
		f.awaitReady(h.name)
	}
	for _, d := range f.domains {
		f.awaitOwner(d.name)
	}
}

func (f *fleetRun) startWorkers() {
	for i, d := range f.domains {
		rack := d.name + "-r1"
		first := f.addr(100+i, 1, workerPort)
		f.run("workers-"+d.name, "standin", "worker", "--domain", d.name, "--rack", rack,
			"--addr", first.String(), "--count", fmt.Sprint(workersEach))
		for j := range workersEach {
			a := f.addr(100+i, j+1, workerPort)
			f.workers = append(f.workers, store.Worker{
				Name: fmt.Sprintf("%s-w%d", rack, j+1), Domain: d.name, Rack: rack, Addr: f.workerAddr(a),
				Slots: slotsEach, Connections: 64, Accelerators: slotsEach, Processors: 128, MemoryBytes: 512 << 30,
			})
		}
	}
	require.NoError(f.t, standin.Enroll(f.t.Context(), f.platform, standin.Registration{Workers: f.workers}))
}

func (f *fleetRun) enrollHosts() {
	var q standin.Registration
	for _, h := range f.hosts {
		q.Hosts = append(q.Hosts, store.Host{Name: h.name, Domain: h.domain, Addr: netip.AddrPortFrom(h.ip, peerPort)})
	}
	require.NoError(f.t, standin.Enroll(f.t.Context(), f.platform, q))
}

// configure appends profiles and organisations to the log.
func (f *fleetRun) configure() {
	q := &wire.ConfigChange{Operator: "test", Reason: "test"}
	add := func(kind, name string, v any) {
		b, err := json.Marshal(v)
		require.NoError(f.t, err)
		q.Items = append(q.Items, &wire.ConfigItem{Kind: kind, Name: name, Json: b})
	}
	for _, o := range []string{"harbour", "quay"} {
		add("Organisation", o, config.Organisation{Name: o, Weight: 1})
	}
	add("Profile", "registration", config.Profile{
		Name: "registration", Urgency: config.Urgent, WaitBound: 3600 * time.Millisecond, Once: true, RunTime: time.Second,
	})
	add("Profile", "audit", config.Profile{
		Name: "audit", Urgency: config.Quiet, WaitBound: time.Hour, RunTime: time.Minute,
	})
	b, err := proto.Marshal(&wire.Record{Id: "setup", Body: &wire.Record_Config{Config: q}})
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, f.post(f.platform, "/log/append", store.AppendRequest{Records: [][]byte{b}}, nil))
}

// settings writes the INI file of a host and returns its path.
func (f *fleetRun) settings(h host) string {
	var names, seeds []string
	for _, d := range f.domains {
		names = append(names, d.name)
		first := f.hosts[d.name+"-1"]
		seeds = append(seeds, fmt.Sprintf("%s@%s@%s:%d", first.name, first.domain, first.ip, peerPort))
	}
	platform := f.platform
	if a, ok := f.platforms[h.domain]; ok {
		platform = a
	}
	text := fmt.Sprintf("[Host]\nName = %s\nDomain = %s\nDomains = %s\n", h.name, h.domain, strings.Join(names, ", "))
	text += fmt.Sprintf("[Listen]\nPeer = %s:%d\nCaller = %s:%d\nOperator = %s:%d\nStatus = %s:%d\n",
		h.ip, peerPort, h.ip, callerPort, h.ip, operatorPort, h.ip, statusPort)
	text += fmt.Sprintf("[Peers]\nSeeds = %s\n[Platform]\nLog = %s\nHosts = %s\n", strings.Join(seeds, ", "), platform, platform)
	text += fmt.Sprintf("[Shutdown]\nBound = %s\n", shutdownBound)
	path := filepath.Join(f.dir, h.name+".ini")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *fleetRun) startHost(name string) *process {
	return f.run(name, "auburncleatd", "--settings", f.settings(f.hosts[name]))
}

// run starts a program; its output goes to a file of the test's folder.
func (f *fleetRun) run(name, program string, args ...string) *process {
	f.t.Helper()
	p := &process{name: name, log: filepath.Join(f.dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	require.NoError(f.t, err)
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(f.t, p.cmd.Start())
	f.procs[name] = p
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
		_ = out.Close()
	}()
	return p
}

// signal sends a signal to a process that this test has started.
func (f *fleetRun) signal(name string, s syscall.Signal) {
	f.t.Helper()
	p := f.procs[name]
	require.NoError(f.t, p.cmd.Process.Signal(s), name)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// kill ends a process at once.
func (f *fleetRun) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	<-f.procs[name].done
	delete(f.procs, name)
}

// wait returns the exit code of a process that ends within the bound.
func (f *fleetRun) wait(p *process, bound time.Duration) int {
	f.t.Helper()
	select {
	case <-p.done:
	case <-clock.System().After(bound):
		require.Fail(f.t, "process does not end", "%s within %s: %s", p.name, bound, p.output())
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) output() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

func (f *fleetRun) stop() {
	if f.t.Failed() {
		f.dump()
	}
	for _, p := range f.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.done
	}
	f.client.CloseIdleConnections()
}

// eventually polls until g holds and returns how long that took.
func (f *fleetRun) eventually(bound time.Duration, what string, g func() bool) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for !g() {
		if time.Since(begin) > bound {
			require.Fail(f.t, "not in time", "%s within %s", what, bound)
		}
		pause(f.t, pollInterval)
	}
	return time.Since(begin)
}
