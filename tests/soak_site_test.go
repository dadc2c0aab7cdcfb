package tests

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Limits and intervals of the simulated platform, and time limits of the checks.
const (
	soakStopTimeout     = 400 * time.Millisecond
	soakGangTimeout     = 3 * time.Second
	soakRevokeTimeout   = 5 * time.Second
	soakGracePeriod     = 6 * time.Second
	soakContactTime     = 3 * time.Second
	soakVisibleTimeout  = 3 * time.Second
	soakRecoveryTimeout = 12 * time.Second
	soakHeartbeat       = 1500 * time.Millisecond
	readyPort           = 7105
	soakStoreDelay      = 2 * time.Millisecond
	soakMemory          = "284MB"
)

var (
	operatorTopic = port.Topic{Name: "op", IsKeyed: true}
	workersTopic  = port.Topic{Name: "servers", IsKeyed: true}
	ownerTopic    = port.Topic{Name: "owner"}
)

// soakSite is a deployment with simulated store and workers, whose hosts are real processes that reach them through relays.
type soakSite struct {
	*programs
	net     int
	store   *standin.Store
	runners *standin.Runners
	plan    *soakPlan
	hosts   []*soakHost
	workers []*soakWorker
	stalls  *stallMonitor
	// lost counts the workers that were to end for good.
	lost atomic.Int32
	// busy holds the names of hosts and workers that have a fault which no other may overlap.
	busy sync.Map
	// configMu guards config, and orders its versions.
	configMu sync.Mutex
	config   soakConfig
	// stateMu guards the fields below.
	stateMu    sync.Mutex
	violations []string
	// storeFaults counts the active faults of the whole store, and storeFaultFreeSince is when the last one ended.
	storeFaults         int
	storeFaultFreeSince time.Time
}

// soakHost is an entry host with its relay to the store.
type soakHost struct {
	name   string
	domain string
	ip     netip.Addr
	store  *relay
	mu     sync.Mutex
	// activeFaults counts the active faults of the host, and faultFreeSince is when the last one ended.
	activeFaults   int
	faultFreeSince time.Time
	// leavingAt is when the host got SIGTERM; zero if it has not.
	leavingAt time.Time
	isUp      bool
}

func (s *soakSite) addr(c, d, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.net), byte(c), byte(d)}), uint16(port))
}

// newSoakSite starts the store, the workers and the hosts.
func newSoakSite(t *testing.T, p *soakPlan) *soakSite {
	c := clock.System()
	s := &soakSite{
		programs: newPrograms(t), net: reserveNet(t), plan: p, config: newSoakConfig(p), storeFaultFreeSince: time.Now(),
		store: standin.NewStore(c, soakStoreDelay),
	}
	t.Cleanup(s.stop)
	s.runners = standin.NewRunners(c, standin.RunLimits{
		Attempts: p.maxAttempts, MaxHold: p.maxHold, StopTimeout: soakStopTimeout, GangTimeout: soakGangTimeout,
	}, p.drawOutcome)
	s.stalls = &stallMonitor{s: s, lastFault: time.Now()}
	for i := range p.workers {
		s.addWorker(i)
	}
	go s.publishWorkers()
	s.configure(func(*soakConfig) {})
	for i := range p.hosts {
		s.addHost(i)
	}
	return s
}

// serve serves HTTP requests at an address until the test ends.
func (s *soakSite) serve(at netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", at.String())
	require.NoError(s.t, err)
	x := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = x.Serve(l) }()
	s.t.Cleanup(func() { _ = x.Close() })
}

// appendAsPlatform appends entries as the platform, whose calls no fault affects.
func (s *soakSite) appendAsPlatform(t port.Topic, es ...port.Entry) {
	if _, err := s.store.View("platform").Append(s.t.Context(), port.Append{Topic: t, Entries: es}); err != nil && s.t.Context().Err() == nil {
		s.violate("append to %s: %v", t.Name, err)
	}
}

func (s *soakSite) addHost(i int) {
	h := &soakHost{name: fmt.Sprintf("host-%d", i), domain: soakDomain(i), ip: s.addr(1+i/200, 1+i%200, 0).Addr(), faultFreeSince: time.Now()}
	at := s.addr(10+i/200, 1+i%200, platformPort)
	s.serve(at, s.store.Handler(h.name))
	h.store = newRelay(s.t, s.addr(20+i/200, 1+i%200, platformPort), at)
	s.hosts = append(s.hosts, h)
	s.writeSettings(h, "")
	s.startHost(h)
}

// writeSettings writes the settings of a host, followed by more lines.
func (s *soakSite) writeSettings(h *soakHost, more string) {
	ip := h.ip.String()
	text := fmt.Sprintf("[Host]\nName = %s\nDomain = %s\n[Listen]\nCaller = %s:%d\nReady = %s:%d\nStatus = %s:%d\nPeer = %s:%d\n",
		h.name, h.domain, ip, callerPort, ip, readyPort, ip, statusPort, ip, peerPort)
	text += fmt.Sprintf("[Store]\nAddr = %s\n", h.store.listener.Addr())
	text += fmt.Sprintf("[Bounds]\nMaxHold = %s\nStopTimeout = %s\nClaim = 2900ms\nGangTimeout = %s\nRevoke = %s\nKeepEnded = 120s\nGrace = %s\n",
		s.plan.maxHold, soakStopTimeout, soakGangTimeout, soakRevokeTimeout, soakGracePeriod)
	text += fmt.Sprintf("[Log]\nLevel = info\n[Limits]\nMemory = %s\nProcessors = 1\n", cmp.Or(s.plan.memory, soakMemory)) + more
	if err := os.WriteFile(s.settingsPath(h), []byte(text), 0o600); err != nil {
		s.violate("write settings of %s: %v", h.name, err)
	}
}

func (s *soakSite) settingsPath(h *soakHost) string {
	return filepath.Join(s.dir, h.name+".ini")
}

func (s *soakSite) startHost(h *soakHost) {
	args := []string{"site", "--settings", s.settingsPath(h)}
	if s.plan.openFiles > 0 {
		s.runLimited(h.name, "auburncleatd", s.plan.openFiles, args...)
	} else {
		s.run(h.name, "auburncleatd", args...)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isUp, h.leavingAt = true, time.Time{}
}

// violate records a violated guarantee.
func (s *soakSite) violate(format string, args ...any) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// findViolations returns the violations so far.
func (s *soakSite) findViolations() []string {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return slices.Clone(s.violations)
}

// owner returns the host that last claimed the ownership, or the first host if there is none.
func (s *soakSite) owner() *soakHost {
	e, err := s.store.View("platform").Read(s.t.Context(), ownerTopic, 0, 0)
	if err != nil {
		return s.hosts[0]
	}
	name := ""
	for _, x := range e.Entries {
		var m wire.LeadRecord
		if proto.Unmarshal(x.Value, &m) == nil && !m.GetReleased() {
			name = m.GetHost()
		}
	}
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return s.hosts[0]
}

// beginFault and endFault enclose a fault of the host.
func (h *soakHost) beginFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeFaults++
}

func (h *soakHost) endFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeFaults--
	h.faultFreeSince = time.Now()
}

// isFaultFree reports whether the host runs and has had no fault since the given time.
func (h *soakHost) isFaultFree(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isUp && h.activeFaults == 0 && h.faultFreeSince.Before(since)
}

func (h *soakHost) leavingTime() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leavingAt
}

func (s *soakSite) beginStoreFault() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.storeFaults++
}

func (s *soakSite) endStoreFault() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.storeFaults--
	s.storeFaultFreeSince = time.Now()
}

// isStoreFaultFree reports whether the store as a whole has had no fault since the given time.
func (s *soakSite) isStoreFaultFree(since time.Time) bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.storeFaults == 0 && s.storeFaultFreeSince.Before(since)
}

// signalHost sends a signal to a running host.
func (s *soakSite) signalHost(h *soakHost, g syscall.Signal) {
	if err := s.process(h.name).cmd.Process.Signal(g); err != nil {
		s.violate("signal %s to %s: %v", g, h.name, err)
	}
}
