package tests

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdClients is the number of connections of a crowd.
	crowdClients = 400
	// crowdMemory is the memory of the host in its settings, and crowdMemoryBytes the bound of what it may hold.
	crowdMemory      = "96MB"
	crowdMemoryBytes = 96 << 20
	// crowdOpenFiles is the limit of open files of the host. The platform reserves crowdReservedFiles of them for files, so
	// that the host may use the rest.
	crowdOpenFiles     = 512
	crowdReservedFiles = 200
	crowdLength        = 10 * time.Second
)

// crowdTarget is an address of a host and a path there.
type crowdTarget struct {
	name string
	port int
	// path returns the path for one client of the crowd.
	path func(client int) string
	key  string
}

var crowdTargets = []crowdTarget{
	{"job path", callerPort, func(i int) string { return fmt.Sprintf("/quiet/%016x", 1<<48+i) }, "harbour-0"},
	{"path without queue", callerPort, func(i int) string { return fmt.Sprintf("/nowhere/%d", i) }, "harbour-0"},
	{"readiness", readyPort, func(int) string { return "/readiness" }, ""},
	{"status", statusPort, func(int) string { return "/metrics" }, ""},
}

// TestClientsKeepHostWithinItsLimits guards against clients that send or hold more than a host has room for, by every way of
// sending and at every address of a host. The host must go on running within its memory and its open files, and take and
// run a job while the clients stay connected and after they have left.
func TestClientsKeepHostWithinItsLimits(t *testing.T) {
	for _, k := range crowdKinds {
		for _, x := range crowdTargets {
			t.Run(k.name+" at "+x.name, func(t *testing.T) { runCrowd(t, k, x) })
		}
	}
}

func runCrowd(t *testing.T, k crowdKind, x crowdTarget) {
	s, h := newCrowdSite(t)
	g := startGauge(t, s.process(h.name), h.ip)
	c := newCrowd(t, netip.AddrPortFrom(h.ip, uint16(x.port)))
	c.run(k, x)
	g.requireWithinLimits("while the crowd is connected")
	s.requireServes(h, s.plan.jobs[0], "while the crowd is connected")
	g.requireWithinLimits("after the first job")
	c.leave()
	s.requireServes(h, s.plan.jobs[1], "after the crowd has left")
	g.requireWithinLimits("after the crowd has left")
	t.Log(g)
}

// newCrowdSite starts a site whose only host has little memory and few open files.
func newCrowdSite(t *testing.T) (*soakSite, *soakHost) {
	p := newSoakPlan(1, 1, 1, crowdLength)
	p.memory, p.openFiles = crowdMemory, crowdOpenFiles
	for _, j := range p.jobs {
		j.steps, j.isPoison, j.work, j.org, j.queue = []soakStep{{Count: 1, CPU: 1, Estimated: 100}}, false, 100*time.Millisecond, "harbour", "urgent"
	}
	s := newSoakSite(t, p)
	h := s.hosts[0]
	s.eventually(readyTimeout, "readiness", func() bool { return s.isReady(h) })
	return s, h
}

// requireServes submits a job until it is accepted, and waits until it has run.
func (s *soakSite) requireServes(h *soakHost, j *soakJob, when string) {
	s.t.Helper()
	s.eventually(outcomeTimeout, "acceptance of a job "+when, func() bool { return s.submitJob(j) == http.StatusOK })
	s.eventually(outcomeTimeout, "end of a job "+when, func() bool {
		state, _ := s.state(h, j)
		return state == "completed"
	})
	s.eventually(readyTimeout, "readiness "+when, func() bool { return s.isReady(h) })
}

// TestLargestRequestIsServed guards against limits that refuse a client within the limits of the platform: a request with
// the largest header and the largest body, both made of many short fields, is served in calm.
func TestLargestRequestIsServed(t *testing.T) {
	s, h := newCrowdSite(t)
	g := startGauge(t, s.process(h.name), h.ip)
	j := s.plan.jobs[0]
	at := netip.AddrPortFrom(h.ip, callerPort)
	s.eventually(outcomeTimeout, "acceptance of the largest request", func() bool {
		return postLargest(t, at, "/"+j.queue+"/"+j.id, s.key(j.org), j.spec()) == http.StatusOK
	})
	s.eventually(outcomeTimeout, "end of the job", func() bool {
		state, _ := s.state(h, j)
		return state == "completed"
	})
	require.Empty(t, s.findViolations())
	g.requireWithinLimits("after the request")
}

// largeJobs is the number of jobs of a crowd that hands in jobs of very many tasks.
const largeJobs = 40

// TestLargeJobsKeepHostWithinItsLimits guards against jobs that are small as requests and large once they are accepted: of very
// many tasks, or of very many steps, for which no worker has room. The host must stay within its memory, and run a small job.
func TestLargeJobsKeepHostWithinItsLimits(t *testing.T) {
	s, h := newCrowdSite(t)
	g := startGauge(t, s.process(h.name), h.ip)
	var clients sync.WaitGroup
	for i := range largeJobs {
		steps := `{"count":20000,"cpu":99999999}`
		if i%2 == 1 {
			steps = strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":99999999},`, 5000), ",")
		}
		body := []byte(`{"spec":"x","steps":[` + steps + `]}`)
		clients.Go(func() {
			s.call(h, soakRequest{http.MethodPost, "quiet", fmt.Sprintf("%016x", 1<<48+i), s.key("harbour"), body, 0})
		})
	}
	clients.Wait()
	g.requireWithinLimits("after the large jobs")
	s.requireServes(h, s.plan.jobs[0], "beside the large jobs")
	g.requireWithinLimits("after the small job")
	t.Log(g)
}
