package host

import (
	"context"
	"fmt"
	"net/http"
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
	// storeUnresponsiveTimeout is the maximum age of the last successful read of the configuration; beyond it the host reports that
	// it is not ready.
	storeUnresponsiveTimeout = 2500 * time.Millisecond
	// leaveDelay lets the load balancer notice that the host is leaving before it refuses connections.
	leaveDelay = 2500 * time.Millisecond
	// releaseTimeout bounds the release of the ownership and of the host list entry during shutdown.
	releaseTimeout = time.Second
	// droppedLinesInterval is the interval of the gauge of dropped log lines.
	droppedLinesInterval = 5 * time.Second
	// shutdownMargin is the part of the grace period that is reserved for the end of the process.
	shutdownMargin = 500 * time.Millisecond
)

// Run serves until ctx ends, and then releases the ownership and waits for the requests in flight.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("starting", "Domain", h.settings.Host.Domain)
	var g run.Group
	components, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	endpoints := h.newEndpoints()
	callers := endpoints.callers.server
	shutdown, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-shutdown.Done()
		if ctx.Err() != nil {
			h.shutdown(context.WithoutCancel(ctx), callers)
		}
		return nil
	}, func(error) { cancel() })
	addComponent := func(f func(context.Context) error) {
		g.Add(func() error { return f(components) }, func(error) { stop() })
	}
	addComponent(h.reportDroppedLines)
	addComponent(h.config.Run)
	addComponent(h.jobs.Run)
	addComponent(h.writer.Run)
	addComponent(h.hosts.Run)
	addComponent(func(c context.Context) error { return h.elect.Run(c, h.runEngine) })
	for _, e := range []endpoint{endpoints.callers, endpoints.ready, endpoints.status} {
		if err := h.addEndpoint(&g, endpoints.guard, e); err != nil {
			return err
		}
	}
	l, err := h.deps.Listen(h.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.settings.Listen.Peer, err)
	}
	addComponent(func(c context.Context) error {
		return h.deps.ServePeers(c, l, PeerHandlers{Take: h.relay.Take, Workers: h.listWorkers, Lead: h.describeTerm})
	})
	err = g.Run()
	h.log.Info("stopped")
	return err
}

// reportDroppedLines reports the number of log lines that were dropped because of a slow reader.
func (h *Host) reportDroppedLines(ctx context.Context) error {
	for h.clock.Sleep(ctx, droppedLinesInterval) == nil {
		h.scope.Gauge("log_lines_dropped").Update(float64(h.droppedLines()))
	}
	return nil
}

// serveReady serves the readiness check of the load balancer.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := h.CheckReady()
	h.logReadiness(err)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// logReadiness logs each change of readiness.
func (h *Host) logReadiness(err error) {
	if h.wasReady.Swap(err == nil) == (err == nil) {
		return
	}
	if err != nil {
		h.log.Warn("host is not ready", "Cause", err.Error())
		return
	}
	h.log.Info("host is ready")
}

// shutdown releases the ownership, waits for the load balancer to notice, and then waits for the requests in flight.
func (h *Host) shutdown(ctx context.Context, callers *http.Server) {
	h.log.Info("leaving")
	h.leaving.Store(true)
	defer close(h.drained)
	graceCtx, cancel := context.WithTimeout(ctx, h.settings.Bounds.Grace-shutdownMargin)
	defer cancel()
	releaseCtx, cancelRelease := context.WithTimeout(graceCtx, releaseTimeout)
	if err := h.elect.Leave(releaseCtx); err != nil {
		h.log.Warn("ownership not released", "Cause", err.Error())
	}
	if err := h.hosts.Leave(releaseCtx); err != nil {
		h.log.Warn("host not removed from host list", "Cause", err.Error())
	}
	cancelRelease()
	callers.SetKeepAlivesEnabled(false)
	_ = h.clock.Sleep(graceCtx, leaveDelay)
	if err := callers.Shutdown(graceCtx); err != nil {
		h.log.Warn("requests in flight aborted", "Cause", err.Error())
	}
}
