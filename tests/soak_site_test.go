package tests

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
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

// Bounds of the platform that the soak plays.
const (
	soakHold      = 6 * time.Second
	soakStop      = 400 * time.Millisecond
	soakGang      = 3 * time.Second
	soakRevoke    = 5 * time.Second
	soakConfig    = 2 * time.Second
	soakGrace     = 6 * time.Second
	soakContact   = 3 * time.Second
	soakVisible   = 3 * time.Second
	soakRecovery  = 12 * time.Second
	soakBeat      = 1500 * time.Millisecond
	soakAttempts  = 3
	readyPort     = 7105
	soakStoreCall = 2 * time.Millisecond
	soakRack      = 4
	soakDomains   = 3
)

var (
	operatorTopic = port.Topic{Name: "op", IsKeyed: true}
	workersTopic  = port.Topic{Name: "servers", IsKeyed: true}
	ownerTopic    = port.Topic{Name: "owner"}
)

// soakSite is a deployment whose store and workers are played here, and whose hosts are real processes behind relays.
type soakSite struct {
	*programs
	net     int
	store   *standin.Store
	runners *standin.Runners
	plan    *soakPlan
	hosts   []*soakHost
	workers []*soakWorker
	version atomic.Int64
	// keys are the API keys in force, by organisation.
	lock       sync.Mutex
	keys       map[string]string
	violations []string
	// storeCalm is since when the store serves everybody.
	storeTrouble int
	storeCalm    time.Time
}

// soakHost is one entry host with its way to the store.
type soakHost struct {
	name  string
	ip    netip.Addr
	store *relay
	mu    sync.Mutex
	// troubles are the faults that now concern the host, and calm is since when there is none.
	troubles int
	calm     time.Time
	// leaving is when the host was asked to stop; zero while it was not.
	leaving time.Time
	up      bool
}

type soakWorker struct {
	worker fleet.Worker
	relay  *relay
	// isListed is unset while the worker lists itself no more.
	isListed atomic.Bool
}

func (s *soakSite) addr(c, d, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.net), byte(c), byte(d)}), uint16(port))
}

// newSoakSite starts store, workers and hosts.
func newSoakSite(t *testing.T, p *soakPlan) *soakSite {
	c := clock.System()
	s := &soakSite{
		programs: newPrograms(t), net: takeNet(t), plan: p, keys: map[string]string{}, storeCalm: time.Now(),
		store: standin.NewStore(c, soakStoreCall),
	}
	t.Cleanup(s.stop)
	s.runners = standin.NewRunners(c, standin.RunBounds{
		Attempts: soakAttempts, MaxHold: soakHold, StopTimeout: soakStop, GangTimeout: soakGang,
	}, p.fate)
	for i := range p.workers {
		s.addWorker(i)
	}
	go s.beat()
	s.configure(map[string]string{"harbour": "harbour-0", "quay": "quay-0"})
	for i := range p.hosts {
		s.addHost(i)
	}
	return s
}

func (s *soakSite) addWorker(i int) {
	at := s.addr(100, i+1, workerPort)
	w := &soakWorker{worker: fleet.Worker{
		Name: fmt.Sprintf("w%d", i), Domain: soakDomain(i), Rack: fmt.Sprintf("r1-%d", i/soakRack), Addr: at,
		Accelerators: 8, Processors: 64, Memory: 128 * fleet.Gigabyte,
	}}
	w.isListed.Store(true)
	s.runners.Add(w.worker)
	s.serve(at, s.runners.Handler(at))
	w.relay = newRelay(s.t, s.addr(101, i+1, workerPort), at)
	s.workers = append(s.workers, w)
}

func soakDomain(i int) string {
	return fmt.Sprintf("d%d", i%soakDomains)
}

// serve answers requests at an address until the test ends.
func (s *soakSite) serve(at netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", at.String())
	require.NoError(s.t, err)
	x := &http.Server{Handler: h, ReadHeaderTimeout: readyBound}
	go func() { _ = x.Serve(l) }()
	s.t.Cleanup(func() { _ = x.Close() })
}

// beat has every listed worker write its entry now and then.
func (s *soakSite) beat() {
	for n := 1; s.t.Context().Err() == nil; n++ {
		var es []port.Entry
		for _, w := range s.workers {
			if !w.isListed.Load() {
				continue
			}
			b, err := json.Marshal(map[string]any{
				"service": "svc", "address": w.relay.listener.Addr().String(), "zone": w.worker.Domain, "version": "1", "slots": 8,
				"state": "ready", "cold_remaining_ms": 0, "sequence": n, "labels": []string{"a", w.worker.Rack},
				"capacity": map[string]any{"cpu": 64, "mem_mb": 128 << 10, "gpus": 8},
			})
			if err != nil {
				s.violate("entry of %s: %v", w.worker.Name, err)
				continue
			}
			es = append(es, port.Entry{Key: w.worker.Name, Value: b})
		}
		s.operate(workersTopic, es...)
		_ = clock.System().Sleep(s.t.Context(), soakBeat)
	}
}

// operate appends as the platform does, whom the store always serves.
func (s *soakSite) operate(t port.Topic, es ...port.Entry) {
	if _, err := s.store.View("platform").Append(s.t.Context(), port.Append{Topic: t, Entries: es}); err != nil && s.t.Context().Err() == nil {
		s.violate("append to %s: %v", t.Name, err)
	}
}

// configure publishes a configuration with the given keys by organisation.
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
	s.operate(operatorTopic, port.Entry{Key: "config", Value: b})
	s.lock.Lock()
	s.keys = keys
	s.lock.Unlock()
}

// key returns the key of an organisation that is in force.
func (s *soakSite) key(org string) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.keys[org]
}

func (s *soakSite) addHost(i int) {
	h := &soakHost{name: fmt.Sprintf("host-%d", i), ip: s.addr(1+i/200, 1+i%200, 0).Addr(), calm: time.Now()}
	at := s.addr(10+i/200, 1+i%200, platformPort)
	s.serve(at, s.store.Handler(h.name))
	h.store = newRelay(s.t, s.addr(20+i/200, 1+i%200, platformPort), at)
	s.hosts = append(s.hosts, h)
	s.writeSettings(h, "")
	s.startHost(h)
}

// writeSettings writes the settings of a host, with more lines behind them.
func (s *soakSite) writeSettings(h *soakHost, more string) {
	ip := h.ip.String()
	text := fmt.Sprintf("[Host]\nName = %s\nDomain = d0\n[Listen]\nCaller = %s:%d\nReady = %s:%d\nStatus = %s:%d\nPeer = %s:%d\n",
		h.name, ip, callerPort, ip, readyPort, ip, statusPort, ip, peerPort)
	text += fmt.Sprintf("[Store]\nAddr = %s\n", h.store.listener.Addr())
	text += fmt.Sprintf("[Bounds]\nMaxHold = %s\nStopTimeout = %s\nClaim = 2900ms\nGangTimeout = %s\nRevoke = %s\nKeepEnded = 120s\nGrace = %s\n",
		soakHold, soakStop, soakGang, soakRevoke, soakGrace)
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
	h.up, h.leaving = true, time.Time{}
}

// violate notes that a promise was broken.
func (s *soakSite) violate(format string, args ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// owner returns the host that last claimed the ownership.
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

// enter and leave mark the time of a fault that concerns a host.
func (h *soakHost) enter() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles++
}

func (h *soakHost) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles--
	h.calm = time.Now()
}

// isCalm reports whether no fault has concerned the host since a time.
func (h *soakHost) isCalm(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up && h.troubles == 0 && h.calm.Before(since)
}

func (h *soakHost) leavingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

func (s *soakSite) enterStore() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.storeTrouble++
}

func (s *soakSite) leaveStore() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.storeTrouble--
	s.storeCalm = time.Now()
}

// isStoreCalm reports whether the store has served everybody since a time.
func (s *soakSite) isStoreCalm(since time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.storeTrouble == 0 && s.storeCalm.Before(since)
}

// signalHost sends a signal to a host that runs.
func (s *soakSite) signalHost(h *soakHost, g syscall.Signal) {
	if err := s.process(h.name).cmd.Process.Signal(g); err != nil {
		s.violate("signal %s to %s: %v", g, h.name, err)
	}
}
