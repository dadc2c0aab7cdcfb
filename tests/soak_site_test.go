package tests

import (
	"encoding/json"
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
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Limits and intervals of the simulated platform, and time limits of the checks.
const (
	soakMaxHold         = 6 * time.Second
	soakStopTimeout     = 400 * time.Millisecond
	soakGangTimeout     = 3 * time.Second
	soakRevokeTimeout   = 5 * time.Second
	soakConfig          = 2 * time.Second
	soakGracePeriod     = 6 * time.Second
	soakContactTime     = 3 * time.Second
	soakVisibleTimeout  = 3 * time.Second
	soakRecoveryTimeout = 12 * time.Second
	soakHeartbeat       = 1500 * time.Millisecond
	soakAttempts        = 3
	readyPort           = 7105
	soakStoreDelay      = 2 * time.Millisecond
	soakWorkersPerRack  = 4
	soakDomains         = 3
	// A worker that has not published its entry for soakMaxHeartbeats intervals loses it.
	soakMaxHeartbeats = 3
	soakWorkerGPUs    = 8
	soakWorkerCPU     = 64
	// soakWorkerMemory is in megabytes.
	soakWorkerMemory = 128 << 10
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
	version atomic.Int64
	stalls  *stallMonitor
	// stateMu guards the fields below; keys holds the valid API key of each organisation.
	stateMu    sync.Mutex
	keys       map[string]string
	violations []string
	// storeFaults counts the active faults of the whole store, and storeFaultFreeSince is when the last one ended.
	storeFaults         int
	storeFaultFreeSince time.Time
}

// soakHost is an entry host with its relay to the store.
type soakHost struct {
	name  string
	ip    netip.Addr
	store *relay
	mu    sync.Mutex
	// activeFaults counts the active faults of the host, and faultFreeSince is when the last one ended.
	activeFaults   int
	faultFreeSince time.Time
	// leavingAt is when the host got SIGTERM; zero if it has not.
	leavingAt time.Time
	isUp      bool
}

type soakWorker struct {
	worker fleet.Worker
	relay  *relay
	labels []string
	// isListed is false while the worker does not publish its entry.
	isListed atomic.Bool
	// hasEntry is set while the store has the entry of the worker.
	hasEntry atomic.Bool
	// missed counts the heartbeats since the worker last published its entry.
	missed int
}

// isUsable reports whether the worker is listed.
func (w *soakWorker) isUsable() bool {
	return w.isListed.Load() && w.hasEntry.Load()
}

func (s *soakSite) addr(c, d, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.net), byte(c), byte(d)}), uint16(port))
}

// newSoakSite starts the store, the workers and the hosts.
func newSoakSite(t *testing.T, p *soakPlan) *soakSite {
	c := clock.System()
	s := &soakSite{
		programs: newPrograms(t), net: reserveNet(t), plan: p, keys: map[string]string{}, storeFaultFreeSince: time.Now(),
		store: standin.NewStore(c, soakStoreDelay),
	}
	t.Cleanup(s.stop)
	s.runners = standin.NewRunners(c, standin.RunLimits{
		Attempts: soakAttempts, MaxHold: soakMaxHold, StopTimeout: soakStopTimeout, GangTimeout: soakGangTimeout,
	}, p.drawOutcome)
	s.stalls = &stallMonitor{s: s, lastFault: time.Now()}
	for i := range p.workers {
		s.addWorker(i)
	}
	go s.publishWorkers()
	s.configure(map[string]string{"harbour": "harbour-0", "quay": "quay-0"})
	for i := range p.hosts {
		s.addHost(i)
	}
	return s
}

func (s *soakSite) addWorker(i int) {
	at := s.addr(100, i+1, workerPort)
	w := &soakWorker{worker: fleet.Worker{
		Name: fmt.Sprintf("w%d", i), Domain: soakDomain(i), Rack: fmt.Sprintf("r1-%d", i/soakWorkersPerRack), Addr: at,
		Accelerators: soakWorkerGPUs, Processors: soakWorkerCPU, Memory: soakWorkerMemory * fleet.Megabyte,
	}}
	w.labels = []string{"a", w.worker.Rack}
	w.isListed.Store(true)
	s.runners.Add(w.worker)
	s.serve(at, s.runners.Handler(at))
	w.relay = newRelay(s.t, s.addr(101, i+1, workerPort), at)
	s.workers = append(s.workers, w)
}

func soakDomain(i int) string {
	return fmt.Sprintf("d%d", i%soakDomains)
}

// serve serves HTTP requests at an address until the test ends.
func (s *soakSite) serve(at netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", at.String())
	require.NoError(s.t, err)
	x := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = x.Serve(l) }()
	s.t.Cleanup(func() { _ = x.Close() })
}

// publishWorkers appends the entries of all listed workers at the heartbeat interval, and removes those of workers that have
// missed soakMaxHeartbeats.
func (s *soakSite) publishWorkers() {
	for n := 1; s.t.Context().Err() == nil; n++ {
		var es []port.Entry
		for _, w := range s.workers {
			if w.isListed.Load() {
				w.missed = 0
				w.hasEntry.Store(true)
				es = append(es, port.Entry{Key: w.worker.Name, Value: s.entry(w, n)})
				continue
			}
			w.missed++
			if w.missed >= soakMaxHeartbeats && w.hasEntry.Swap(false) {
				es = append(es, port.Entry{Key: w.worker.Name})
			}
		}
		s.appendAsPlatform(workersTopic, es...)
		s.sleep(soakHeartbeat)
	}
}

// entry returns the entry that a worker publishes.
func (s *soakSite) entry(w *soakWorker, sequence int) []byte {
	b, err := json.Marshal(map[string]any{
		"service": "svc", "address": w.relay.listener.Addr().String(), "zone": w.worker.Domain, "version": "1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "labels": w.labels,
		"capacity": map[string]any{"cpu": soakWorkerCPU, "mem_mb": soakWorkerMemory, "gpus": soakWorkerGPUs},
	})
	if err != nil {
		s.violate("entry of %s: %v", w.worker.Name, err)
	}
	return b
}

// appendAsPlatform appends entries as the platform, whose calls no fault affects.
func (s *soakSite) appendAsPlatform(t port.Topic, es ...port.Entry) {
	if _, err := s.store.View("platform").Append(s.t.Context(), port.Append{Topic: t, Entries: es}); err != nil && s.t.Context().Err() == nil {
		s.violate("append to %s: %v", t.Name, err)
	}
}

// configure publishes a configuration with the given API keys by organisation.
func (s *soakSite) configure(keys map[string]string) {
	var tenants []any
	for _, org := range []string{"harbour", "quay"} {
		tenants = append(tenants, map[string]any{"name": org, "api_keys": []string{keys[org]}, "guaranteed": map[string]any{"gpus": 16}})
	}
	b, err := json.Marshal(map[string]any{
		"version": s.version.Add(3), "tenants": tenants,
		"routes": []any{
			map[string]any{"name": "urgent", "hostname": soakHostname, "path_prefix": "/urgent/", "service": "svc", "priority": 0, "max_attempts": soakAttempts, "stretch": 3, "latency_slo_ms": 300},
			map[string]any{"name": "quiet", "hostname": soakHostname, "path_prefix": "/quiet/", "service": "svc", "priority": 2, "max_attempts": soakAttempts, "stretch": 3, "latency_slo_ms": 3000},
		},
	})
	require.NoError(s.t, err)
	s.appendAsPlatform(operatorTopic, port.Entry{Key: "config", Value: b})
	s.stateMu.Lock()
	s.keys = keys
	s.stateMu.Unlock()
}

// key returns the valid API key of an organisation.
func (s *soakSite) key(org string) string {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.keys[org]
}

func (s *soakSite) addHost(i int) {
	h := &soakHost{name: fmt.Sprintf("host-%d", i), ip: s.addr(1+i/200, 1+i%200, 0).Addr(), faultFreeSince: time.Now()}
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
	text := fmt.Sprintf("[Host]\nName = %s\nDomain = d0\n[Listen]\nCaller = %s:%d\nReady = %s:%d\nStatus = %s:%d\nPeer = %s:%d\n",
		h.name, ip, callerPort, ip, readyPort, ip, statusPort, ip, peerPort)
	text += fmt.Sprintf("[Store]\nAddr = %s\n", h.store.listener.Addr())
	text += fmt.Sprintf("[Bounds]\nMaxHold = %s\nStopTimeout = %s\nClaim = 2900ms\nGangTimeout = %s\nRevoke = %s\nKeepEnded = 120s\nGrace = %s\n",
		soakMaxHold, soakStopTimeout, soakGangTimeout, soakRevokeTimeout, soakGracePeriod)
	text += "[Log]\nLevel = info\n[Limits]\nMemory = 284MB\nProcessors = 1\n" + more
	if err := os.WriteFile(s.settingsPath(h), []byte(text), 0o600); err != nil {
		s.violate("write settings of %s: %v", h.name, err)
	}
}

func (s *soakSite) settingsPath(h *soakHost) string {
	return filepath.Join(s.dir, h.name+".ini")
}

func (s *soakSite) startHost(h *soakHost) {
	s.run(h.name, "auburncleatd", "site", "--settings", s.settingsPath(h))
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
