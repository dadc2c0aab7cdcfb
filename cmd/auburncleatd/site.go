package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/host"
	"github.com/auburncleat/auburncleat/internal/logs"
	"github.com/auburncleat/auburncleat/internal/metric"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/platform"
	"github.com/uber-go/tally/v4"
)

// memoryLimitRatio is the share of the host's memory limit that is set as the soft limit of the Go runtime.
const memoryLimitRatio = 0.75

// maxTimelineEvents bounds the events that the process keeps in its time line.
const maxTimelineEvents = 4096

// connectionsPerWorker bounds the connections to one worker: one is held by the long poll for its reports, the others send commands.
const connectionsPerWorker = 6

// siteOptions is empty: --settings belongs to the program and may stand before or after the sub-command.
type siteOptions struct{}

func runSite(path string) int {
	s, err := setup.LoadSite(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburncleatd:", err)
		return exitBadUsage
	}
	k := logs.NewSink(os.Stdout)
	defer k.Close()
	level := &slog.LevelVar{}
	level.Set(s.Log.Level)
	ring := events.NewRing(s.Host.Name, maxTimelineEvents, events.NewClock(clock.System().Now))
	l := logs.New(k, level, ring).With("Host", s.Host.Name)
	if err := serveSite(&reloader{path: path, level: level, log: l}, s, k, ring); err != nil {
		l.Error("host failed", "Cause", err.Error())
		return exitFailed
	}
	return 0
}

func serveSite(r *reloader, s *setup.Site, k *logs.Sink, ring *events.Ring) error {
	debug.SetMemoryLimit(memoryLimit(s))
	m, err := metric.New(map[string]string{"host": s.Host.Name, "domain": s.Host.Domain})
	if err != nil {
		return fmt.Errorf("make metrics: %w", err)
	}
	defer func() { _ = m.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := host.New(s, siteAdapters(s, r.log, m.Scope), host.WithLog(r.log), host.WithMetrics(m.Scope, m.Handler), host.WithDroppedLines(k.Dropped), host.WithEvents(ring))
	go r.run(ctx, h)
	return h.Run(ctx)
}

func memoryLimit(s *setup.Site) int64 {
	return int64(float64(s.Limits.Memory) * memoryLimitRatio)
}

// servePeers serves the calls of other hosts until ctx is done.
func servePeers(ctx context.Context, l net.Listener, s host.PeerHandlers) error {
	p, err := peer.NewServer(ctx, peer.Handlers{Take: s.Take, Workers: s.Workers, Lead: s.Lead})
	if err != nil {
		return fmt.Errorf("create peer server: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer p.Close()
	return p.Serve(l)
}

// idleConnectionsDivisor gives the part of all connections that may be kept to workers without a call under way.
const idleConnectionsDivisor = 4

// newRunnerClient returns the client of the workers.
func newRunnerClient(s *setup.Site) *rest.Client {
	opts := []rest.Option{rest.WithMaxConnections(connectionsPerWorker)}
	if n, ok := host.MaxConnections(s); ok {
		opts = append(opts, rest.WithMaxIdleConnections(max(n/idleConnectionsDivisor, connectionsPerWorker)))
	}
	return rest.New(opts...)
}

// siteAdapters connects the host to the platform, its workers and callers, and to the other hosts.
func siteAdapters(s *setup.Site, l *slog.Logger, c tally.Scope) host.Deps {
	store := platform.NewStore(rest.New(), s.Store.Addr)
	return host.Deps{
		Store:            store,
		Runners:          platform.NewRunners(newRunnerClient(s)),
		FollowRunners:    platform.NewRunnerWatcher(store, clock.System(), l, platform.WithScope(c)),
		ConfigTopic:      platform.ConfigTopic,
		DecodeConfig:     platform.DecodeConfig,
		DecodeEvacuation: platform.DecodeEvacuation,
		NewCallerHandler: func(d host.CallerDeps) http.Handler {
			return platform.NewCallerHandler(d.Serve, d.Guard, d.Log, platform.WithAdmission(d.Admit), platform.WithBodyLimit(int64(d.MaxBody)))
		},
		Peers:      peer.NewPool(peer.WithScope(c)).Peers(),
		ServePeers: servePeers,
		Listen: func(a netip.AddrPort) (net.Listener, error) {
			return net.Listen("tcp", a.String())
		},
	}
}
