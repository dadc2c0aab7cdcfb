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
	"github.com/auburncleat/auburncleat/internal/coordination/intake"
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

// memoryShare is the part of the memory limit that the garbage collector keeps to.
const memoryShare = 0.75

// maxEvents bounds the time line of the process.
const maxEvents = 4096

// workerConnections are the connections to one worker: one for its reports and some for orders.
const workerConnections = 6

// siteOptions has none of its own: the settings are named before or behind the sub-command.
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
	ring := events.NewRing(s.Host.Name, maxEvents, events.NewClock(clock.System().Now))
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
	h := host.New(s, siteOutside(s, r.log, m.Scope), host.WithLog(r.log), host.WithMetrics(m.Scope, m.Handler), host.WithDroppedLines(k.Dropped), host.WithEvents(ring))
	go r.run(ctx, h)
	return h.Run(ctx)
}

func memoryLimit(s *setup.Site) int64 {
	return int64(float64(s.Limits.Memory) * memoryShare)
}

// servePeers answers the calls of other hosts until ctx ends.
func servePeers(ctx context.Context, l net.Listener, s host.PeerHandlers) error {
	p, err := peer.NewServer(ctx, peer.Handlers{Take: s.Take, Workers: s.Workers})
	if err != nil {
		return fmt.Errorf("serve other hosts: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer p.Close()
	return p.Serve(l)
}

func siteOutside(s *setup.Site, l *slog.Logger, c tally.Scope) host.Deps {
	store := platform.NewStore(rest.New(), s.Store.Addr)
	return host.Deps{
		Store:         store,
		Runners:       platform.NewRunners(rest.New(rest.WithMaxConnections(workerConnections))),
		FollowRunners: platform.NewRunnerWatcher(store, clock.System(), l),
		ConfigTopic:   platform.ConfigTopic,
		DecodeConfig:  platform.DecodeConfig,
		NewCallerHandler: func(serve func(context.Context, intake.Request) (intake.Reply, error), l *slog.Logger) http.Handler {
			return platform.NewCallerHandler(serve, l)
		},
		Peers:      peer.NewPool(peer.WithScope(c)).Peers(),
		ServePeers: servePeers,
		Listen: func(a netip.AddrPort) (net.Listener, error) {
			return net.Listen("tcp", a.String())
		},
	}
}
