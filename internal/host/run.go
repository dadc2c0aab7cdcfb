package host

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

var (
	errLeaving  = errors.New("host is leaving")
	errNoConfig = errors.New("no configuration was read yet")
	errNoStore  = errors.New("store does not answer")
)

const (
	// maxAge is how long the store may leave a host without an answer until it says that it is not ready.
	maxAge = 2500 * time.Millisecond
	// leaveTime lets the balancer see that the host leaves before it refuses connections.
	leaveTime = 2500 * time.Millisecond
	// releaseTime bounds the release of the ownership when the host leaves.
	releaseTime = time.Second
	// dropInterval is the time between two counts of dropped lines.
	dropInterval  = 5 * time.Second
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// shutdownMargin is kept of the grace for the end of the process.
	shutdownMargin = 500 * time.Millisecond
)

// Run serves until ctx ends, and then hands its duties over and finishes the requests in flight.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("starting", "Domain", h.settings.Host.Domain)
	var g run.Group
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := &http.Server{
		Handler: h.out.Callers(h.relay.Serve, h.log), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	ready := &http.Server{Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout}
	status := &http.Server{Handler: h.statusServer().Handler(), ReadHeaderTimeout: headerTimeout}
	leave, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-leave.Done()
		if ctx.Err() != nil {
			h.leave(context.WithoutCancel(ctx), front)
		}
		return nil
	}, func(error) { cancel() })
	part := func(f func(context.Context) error) {
		g.Add(func() error { return f(work) }, func(error) { stop() })
	}
	part(h.countDropped)
	part(h.config.Run)
	part(h.jobs.Run)
	part(h.writer.Run)
	part(h.hosts.Run)
	part(func(c context.Context) error { return h.elect.Run(c, h.own) })
	if err := h.serve(&g, front, h.settings.Listen.Caller); err != nil {
		return err
	}
	if err := h.serve(&g, ready, h.settings.Listen.Ready); err != nil {
		return err
	}
	if err := h.serve(&g, status, h.settings.Listen.Status); err != nil {
		return err
	}
	l, err := h.out.Listen(h.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.settings.Listen.Peer, err)
	}
	part(func(c context.Context) error {
		return h.out.ServePeers(c, l, Served{Take: h.relay.Take, Workers: h.findWorkers})
	})
	err = g.Run()
	h.log.Info("stopped")
	return err
}

// countDropped reports the lines of the log that a slow reader cost.
func (h *Host) countDropped(ctx context.Context) error {
	for h.clock.Sleep(ctx, dropInterval) == nil {
		h.scope.Gauge("log_lines_dropped").Update(float64(h.dropped()))
	}
	return nil
}

func (h *Host) serve(g *run.Group, s *http.Server, a netip.AddrPort) error {
	l, err := h.out.Listen(a)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a, err)
	}
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", a, err)
		}
		<-h.stopped
		return nil
	}, func(error) { _ = s.Close() })
	return nil
}

// serveReady tells the balancer whether the host should get new connections.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := h.IsReady()
	h.noteReady(err)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// noteReady logs each change of readiness.
func (h *Host) noteReady(err error) {
	if h.wasReady.Swap(err == nil) == (err == nil) {
		return
	}
	if err != nil {
		h.log.Warn("host is not ready", "Cause", err.Error())
		return
	}
	h.log.Info("host is ready")
}

// leave hands the ownership over, waits for the balancer and finishes the requests in flight.
func (h *Host) leave(ctx context.Context, front *http.Server) {
	h.log.Info("leaving")
	h.leaving.Store(true)
	defer close(h.stopped)
	c, cancel := context.WithTimeout(ctx, h.settings.Bounds.Grace-shutdownMargin)
	defer cancel()
	r, done := context.WithTimeout(c, releaseTime)
	if err := h.elect.Leave(r); err != nil {
		h.log.Warn("ownership not released", "Cause", err.Error())
	}
	if err := h.hosts.Leave(r); err != nil {
		h.log.Warn("host stays listed", "Cause", err.Error())
	}
	done()
	front.SetKeepAlivesEnabled(false)
	_ = h.clock.Sleep(c, leaveTime)
	if err := front.Shutdown(c); err != nil {
		h.log.Warn("requests were cut off", "Cause", err.Error())
	}
}
