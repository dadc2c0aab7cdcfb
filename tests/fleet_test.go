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
	"testing"
	"time"

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
	*programs
	net      int
	domains  []domain
	platform netip.AddrPort
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
		programs:   newPrograms(t),
		net:        takeNet(t),
		domains:    domains,
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

func (f *fleetRun) stop() {
	if f.t.Failed() {
		f.dump()
	}
	f.programs.stop()
	f.client.CloseIdleConnections()
}
