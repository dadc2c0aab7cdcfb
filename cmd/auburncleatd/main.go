package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/auburncleat/auburncleat/internal/daemon"
	"github.com/auburncleat/auburncleat/internal/metric"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadUsage = 2
)

// maxHostsPerDomain divides the connections that a worker accepts among the hosts of its failure domain.
const maxHostsPerDomain = 8

var version = "unknown"

type options struct {
	Site     *siteOptions `arg:"subcommand:site" help:"serve jobs that are kept in the platform's store"`
	Settings string       `arg:"--settings,env:AUBURNCLEAT_BOOT" help:"INI file with the settings of this host"`
}

// Version returns the text that --version prints.
func (options) Version() string {
	return "auburncleatd " + version
}

// Epilogue returns the text below the help of the options.
func (options) Epilogue() string {
	return "Example: auburncleatd --settings /etc/auburncleat/auburncleatd.ini"
}

func main() {
	var o options
	p := arg.MustParse(&o)
	if o.Settings == "" {
		p.Fail("--settings is required")
	}
	if o.Site != nil {
		os.Exit(runSite(o.Settings))
	}
	s, err := setup.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburncleatd:", err)
		os.Exit(exitBadUsage)
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, "auburncleatd:", err)
		os.Exit(exitFailed)
	}
}

func serve(s *setup.Settings) error {
	m, err := metric.New(map[string]string{"host": s.Host.Name, "domain": s.Host.Domain})
	if err != nil {
		return fmt.Errorf("make metrics: %w", err)
	}
	defer func() { _ = m.Close() }()
	l := newLogger(s.Log)
	d, err := daemon.New(s, adapters(s), daemon.WithLog(l), daemon.WithMetrics(m.Scope, m.Handler))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l.Info("starting", "Host", s.Host.Name, "Domain", s.Host.Domain, "Version", version)
	if err := d.Run(ctx); err != nil {
		return err
	}
	l.Info("stopped", "Host", s.Host.Name)
	return nil
}

func newLogger(s setup.Log) *slog.Logger {
	o := &slog.HandlerOptions{Level: s.Level}
	if s.Format == setup.FormatJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// adapters connects the daemon to the workers, the platform and the other hosts.
func adapters(s *setup.Settings) daemon.Deps {
	c := rest.New()
	w := rest.New(rest.WithMaxConnections(max(s.Worker.Connections/maxHostsPerDomain, 1)))
	return daemon.Deps{
		Workers: worker.New(w),
		Log:     store.NewLog(c, s.Platform.Log),
		Hosts:   store.NewHosts(c, s.Platform.Hosts),
		Dial:    peer.Dial,
		Listen: func(a netip.AddrPort) (net.Listener, error) {
			return net.Listen("tcp", a.String())
		},
	}
}
