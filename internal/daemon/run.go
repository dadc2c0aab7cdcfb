package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/oklog/run"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// leaveDelay lets load balancer and peers notice that the host is leaving before it refuses connections.
	leaveDelay = time.Second
)

// Run serves until ctx ends, and then waits for the requests in flight, at most for the shutdown bound.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	// Calls of peers, and of this host to itself, are cancelled only after the requests that depend on them.
	served, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p, err := peer.NewServer(served, d.peerHandlers())
	if err != nil {
		return fmt.Errorf("create peer server: %w", err)
	}
	// The group interrupts in this order: callers' requests end before the components and the peer server that they use.
	if err := d.addServers(&g); err != nil {
		return err
	}
	d.addShutdown(ctx, &g)
	d.addComponents(&g)
	if err := d.addPeerServer(&g, p, stop); err != nil {
		return err
	}
	return g.Run()
}

// addShutdown ends the group when ctx ends and the leave was announced.
func (d *Daemon) addShutdown(ctx context.Context, g *run.Group) {
	c, stop := context.WithCancel(ctx)
	g.Add(func() error {
		<-c.Done()
		d.announceLeave(context.WithoutCancel(ctx))
		return nil
	}, func(error) { stop() })
}

// announceLeave tells peers and the load balancer that the host is leaving, so that no new requests arrive during the
// shutdown.
func (d *Daemon) announceLeave(ctx context.Context) {
	d.drain.shuttingDown.Store(true)
	d.log.Info("leaving", "Host", d.settings.Host.Name)
	c, cancel := context.WithTimeout(ctx, leaveDelay)
	defer cancel()
	d.members.Leave(c)
	_ = d.clock.Sleep(c, leaveDelay)
}

// addComponents runs the components of the coordination layer, each as an actor of the group.
func (d *Daemon) addComponents(g *run.Group) {
	d.addComponent(g, d.members.Run)
	d.addComponent(g, d.stream.Run)
	d.addComponent(g, d.owner.Run)
	d.addComponent(g, d.policy.Run)
	d.addComponent(g, d.notices.Run)
	d.addComponent(g, d.leases.Run)
	d.addComponent(g, d.ledger.Run)
	d.addComponent(g, d.replica.Run)
	d.addComponent(g, d.join)
	d.addComponent(g, d.watchPlannedStop)
	g.Add(func() error {
		<-d.componentsClosed
		return nil
	}, func(error) {
		d.sched.Close()
		d.pool.Close()
		close(d.componentsClosed)
	})
}

func (d *Daemon) addComponent(g *run.Group, f func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error {
		err := f(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { stop() })
}

// join sets the host ready once it has the configuration in force and has requested the claims of its failure domain.
func (d *Daemon) join(ctx context.Context) error {
	for d.clock.Sleep(ctx, joinInterval) == nil {
		if !d.tryJoin(ctx) {
			continue
		}
		d.members.SetState(member.Ready)
		d.log.Info("ready", "Host", d.settings.Host.Name, "ConfigOffset", d.config.Next())
		<-ctx.Done()
	}
	return ctx.Err()
}

const joinInterval = 100 * time.Millisecond

func (d *Daemon) tryJoin(ctx context.Context) bool {
	if !d.stream.IsCaughtUp() {
		return false
	}
	if !d.loadedSnapshot.Load() && d.firstLogOffset.Load() == 1 {
		// The log was read from its start, so the configuration is complete even if the log is empty.
		d.config.MarkReadFromStart()
	}
	if d.config.Ready() != nil {
		return false
	}
	if !d.claimsRequested {
		d.fetchClaimsAndJobs(ctx)
		d.claimsRequested = true
	}
	return true
}

// fetchClaimsAndJobs fetches claims and jobs from peers. If no peer has the claims, the ledger relies on the
// log if that holds every claim, and otherwise refuses work with idempotency keys.
func (d *Daemon) fetchClaimsAndJobs(ctx context.Context) {
	if d.loadedSnapshot.Load() {
		d.ledger.ReachedTail()
	} else {
		d.ledger.ReachedEnd(d.firstLogOffset.Load())
	}
	if err := d.ledger.Join(ctx); err != nil {
		d.log.Info("claims not fetched from peers", "Reason", err)
	}
	if err := d.replica.Join(ctx); err != nil {
		d.log.Info("jobs not fetched from all peers", "Reason", err)
	}
}

// notReadyReason returns why the load balancer should send no requests to this host, or an empty string if it is ready.
func (d *Daemon) notReadyReason() string {
	if d.drain.isDraining() {
		return "draining"
	}
	if err := d.config.Ready(); err != nil {
		return "no configuration: " + err.Error()
	}
	if s := d.members.Self().State; s != member.Ready {
		return string(s)
	}
	if len(d.config.Config().Profiles) == 0 {
		return "no configuration: no profile is published"
	}
	return ""
}

func (d *Daemon) addPeerServer(g *run.Group, p *peer.Server, stop func()) error {
	l, err := d.listen("Peer", d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	g.Add(func() error { return p.Serve(l) }, func(error) {
		stop()
		_ = l.Close()
		p.Close()
	})
	return nil
}

// listen opens a listener. The error names the setting of the address.
func (d *Daemon) listen(key string, a netip.AddrPort) (net.Listener, error) {
	l, err := d.deps.Listen(a)
	if err != nil {
		return nil, fmt.Errorf("[Listen] %s: %w", key, err)
	}
	return l, nil
}

// addServers adds the HTTP servers for callers, operators and status, each on its own listener.
func (d *Daemon) addServers(g *run.Group) error {
	l := d.settings.Listen
	e := entry.New(d.router, d.config.Config,
		entry.WithClock(d.clock),
		entry.WithScope(d.scope),
		entry.WithMaxBodyBytes(d.settings.Limits.Body),
		entry.WithMaxRequests(d.settings.Limits.Connections),
		entry.WithDraining(d.drain.isDraining),
	)
	if err := d.addHTTP(g, "Caller", l.Caller, e.Handler()); err != nil {
		return err
	}
	s := &status.Server{
		Ready:   d.notReadyReason,
		Metrics: d.metrics,
		Events:  d.ring,
		Hosts:   d.hostViews,
		Workers: d.findWorkers,
		Keys:    d.keysView,
		Name:    d.settings.Host.Name,
	}
	o := &oper.Server{
		Policy:    d.policy,
		Keys:      oper.NewKeys(d.settings.Operators.KeyFile),
		StopState: d.notices.StopState,
		ClearKeys: d.ledger.Clear,
		Scope:     d.scope,
	}
	if err := d.addHTTP(g, "Operator", l.Operator, o.Handler()); err != nil {
		return err
	}
	return d.addHTTP(g, "Status", l.Status, s.Handler())
}

func (d *Daemon) addHTTP(g *run.Group, key string, a netip.AddrPort, h http.Handler) error {
	l, err := d.listen(key, a)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(d.settings.Limits.Header),
	}
	g.Add(func() error {
		if err := s.Serve(newLimitListener(l, d.settings.Limits.Connections)); err != http.ErrServerClosed {
			return fmt.Errorf("serve [Listen] %s: %w", key, err)
		}
		return nil
	}, func(error) {
		c, cancel := context.WithTimeout(context.Background(), d.settings.Shutdown.Bound)
		defer cancel()
		_ = s.Shutdown(c)
	})
	return nil
}
