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
	// readyTimeout allows for slow starts of the processes on a busy machine.
	readyTimeout = 30 * time.Second
	// outcomeTimeout bounds the wait for the start or the end of a job.
	outcomeTimeout   = 30 * time.Second
	pollInterval     = 50 * time.Millisecond
	workersPerDomain = 2
	slotsPerWorker   = 8
	peerPort         = 7101
	callerPort       = 7102
	operatorPort     = 7103
	statusPort       = 7104
	workerPort       = 7200
	platformPort     = 7000
	shutdownTimeout  = 8 * time.Second
)

// binDir is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "auburncleat-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create folder for the programs:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	b, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, b)
		return 1
	}
	return m.Run()
}

const (
	// firstNet and lastNet bound the second byte of the loopback addresses of a fleet; the demo uses lower values.
	firstNet = 216
	lastNet  = 254
	lockPort = 6999
)

// reserveNet returns the second byte of a loopback /16 that no other fleet of any test run uses until the test ends. The
// reservation is a listener at a fixed address of the network.
func reserveNet(t *testing.T) int {
	t.Helper()
	for n := firstNet; n <= lastNet; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, lockPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	require.Fail(t, "all loopback networks are in use")
	return 0
}

// domain is a failure domain and the number of its hosts.
type domain struct {
	name  string
	hosts int
}

type entryHost struct {
	name   string
	domain string
	ip     netip.Addr
}

// testFleet is a platform with workers and hosts, all of them real processes.
type testFleet struct {
	*programs
	net      int
	domains  []domain
	platform netip.AddrPort
	hosts    map[string]entryHost
	workers  []store.Worker
	client   *http.Client
	// platforms overrides the address of the platform for the hosts of a failure domain.
	platforms  map[string]netip.AddrPort
	pinnedKeys int
	// workerAddr maps the address of a worker to the one under which it is listed.
	workerAddr func(netip.AddrPort) netip.AddrPort
}

// newFleet returns a fleet of which no process runs yet.
func newFleet(t *testing.T, domains ...domain) *testFleet {
	f := &testFleet{
		programs:   newPrograms(t),
		net:        reserveNet(t),
		domains:    domains,
		hosts:      map[string]entryHost{},
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second},
		platforms:  map[string]netip.AddrPort{},
		workerAddr: func(a netip.AddrPort) netip.AddrPort { return a },
	}
	f.platform = f.addr(250, 1, platformPort)
	for i, d := range domains {
		for j := range d.hosts {
			name := fmt.Sprintf("%s-%d", d.name, j+1)
			f.hosts[name] = entryHost{name: name, domain: d.name, ip: f.addr(i+1, j+1, 0).Addr()}
		}
	}
	t.Cleanup(f.stop)
	return f
}

func (f *testFleet) addr(c, d, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.net), byte(c), byte(d)}), uint16(port))
}

// start starts all processes and waits until each host is ready and each failure domain has an owner.
func (f *testFleet) start() {
	f.t.Helper()
	f.run("platform", "standin", "platform", "--addr", f.platform.String(), "--lag", "0s")
	f.eventually(readyTimeout, "platform", func() bool { return f.get(f.platform, "/hosts", nil) == http.StatusOK })
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

func (f *testFleet) startWorkers() {
	for i, d := range f.domains {
		rack := d.name + "-r1"
		first := f.addr(100+i, 1, workerPort)
		f.run("workers-"+d.name, "standin", "worker", "--domain", d.name, "--rack", rack,
			"--addr", first.String(), "--count", fmt.Sprint(workersPerDomain))
		for j := range workersPerDomain {
			a := f.addr(100+i, j+1, workerPort)
			f.workers = append(f.workers, store.Worker{
				Name: fmt.Sprintf("%s-w%d", rack, j+1), Domain: d.name, Rack: rack, Addr: f.workerAddr(a),
				Slots: slotsPerWorker, Connections: 64, Accelerators: slotsPerWorker, Processors: 128, MemoryBytes: 512 << 30,
			})
		}
	}
	require.NoError(f.t, standin.Enroll(f.t.Context(), f.platform, standin.Registration{Workers: f.workers}))
}

func (f *testFleet) enrollHosts() {
	var q standin.Registration
	for _, h := range f.hosts {
		q.Hosts = append(q.Hosts, store.Host{Name: h.name, Domain: h.domain, Addr: netip.AddrPortFrom(h.ip, peerPort)})
	}
	require.NoError(f.t, standin.Enroll(f.t.Context(), f.platform, q))
}

// configure appends profiles and organisations to the log.
func (f *testFleet) configure() {
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

// settings writes the settings file of a host and returns its path.
func (f *testFleet) settings(h entryHost) string {
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
	text += fmt.Sprintf("[Shutdown]\nBound = %s\n", shutdownTimeout)
	path := filepath.Join(f.dir, h.name+".ini")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *testFleet) startHost(name string) *process {
	return f.run(name, "auburncleatd", "--settings", f.settings(f.hosts[name]))
}

func (f *testFleet) stop() {
	if f.t.Failed() {
		f.logState()
	}
	f.programs.stop()
	f.client.CloseIdleConnections()
}
