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
	// leaveTime lets the balancer and the peers see that the host leaves before it refuses connections.
	leaveTime = time.Second
)

// Run serves until ctx ends, and then finishes the requests in flight within the shutdown bound.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	// Calls of peers, and of this host to itself, end only after the requests that need them.
	served, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p, err := peer.NewServer(served, d.peerHandlers())
	if err != nil {
		return fmt.Errorf("make peer server: %w", err)
	}
	// The group interrupts in this order: callers' requests end before the parts and peers that they need.
	if err := d.addServers(&g); err != nil {
		return err
	}
	d.addStop(ctx, &g)
	d.addParts(&g)
	if err := d.addPeerServer(&g, p, stop); err != nil {
		return err
	}
	return g.Run()
}

// addStop ends the group once the host has left.
func (d *Daemon) addStop(ctx context.Context, g *run.Group) {
	c, stop := context.WithCancel(ctx)
	g.Add(func() error {
		<-c.Done()
		d.leave(context.WithoutCancel(ctx))
		return nil
	}, func(error) { stop() })
}

// leave tells peers and balancer, so that no new work arrives while the last requests end.
func (d *Daemon) leave(ctx context.Context) {
	d.drain.ending.Store(true)
	d.log.Info("leaving", "Host", d.settings.Host.Name)
	c, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	d.members.Leave(c)
	_ = d.clock.Sleep(c, leaveTime)
}

// addParts runs the parts of coordination, each in a goroutine of the group.
func (d *Daemon) addParts(g *run.Group) {
	d.add(g, d.members.Run)
	d.add(g, d.stream.Run)
	d.add(g, d.owner.Run)
	d.add(g, d.policy.Run)
	d.add(g, d.notices.Run)
	d.add(g, d.leases.Run)
	d.add(g, d.book.Run)
	d.add(g, d.keeper.Run)
	d.add(g, d.join)
	d.add(g, d.watchStop)
	g.Add(func() error {
		<-d.closed
		return nil
	}, func(error) {
		d.sched.Close()
		d.pool.Close()
		close(d.closed)
	})
}

func (d *Daemon) add(g *run.Group, f func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error {
		err := f(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { stop() })
}

// join makes the host ready once it has the configuration in force and the claims of its failure domain.
func (d *Daemon) join(ctx context.Context) error {
	for d.clock.Sleep(ctx, joinInterval) == nil {
		if !d.isJoined(ctx) {
			continue
		}
		d.members.SetState(member.Ready)
		d.log.Info("ready", "Host", d.settings.Host.Name, "ConfigOffset", d.config.Next())
		<-ctx.Done()
	}
	return ctx.Err()
}

const joinInterval = 100 * time.Millisecond

func (d *Daemon) isJoined(ctx context.Context) bool {
	if !d.stream.IsCaughtUp() {
		return false
	}
	if !d.skippedLog.Load() && d.logFirst.Load() == 1 {
		// The log was read from its start, so that an empty one is the whole configuration.
		d.config.MarkReadFromStart()
	}
	if d.config.Ready() != nil {
		return false
	}
	if !d.hasClaims {
		d.joinMemory(ctx)
		d.hasClaims = true
	}
	return true
}

// joinMemory fetches claims and jobs; without a peer that has the claims, the book relies on the log or refuses keys.
func (d *Daemon) joinMemory(ctx context.Context) {
	if d.skippedLog.Load() {
		d.book.ReachedTail()
	} else {
		d.book.ReachedEnd(d.logFirst.Load())
	}
	if err := d.book.Join(ctx); err != nil {
		d.log.Info("claims not fetched from peers", "Reason", err)
	}
	if err := d.keeper.Join(ctx); err != nil {
		d.log.Info("jobs not fetched from all peers", "Reason", err)
	}
}

// notReady returns why the balancer should send nothing, or an empty string.
func (d *Daemon) notReady() string {
	if d.drain.isLeaving() {
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

// listen opens an address; an error names the setting that holds it.
func (d *Daemon) listen(key string, a netip.AddrPort) (net.Listener, error) {
	l, err := d.outside.Listen(a)
	if err != nil {
		return nil, fmt.Errorf("[Listen] %s: %w", key, err)
	}
	return l, nil
}

// addServers serves callers, operators and readers of the status on listeners of their own.
func (d *Daemon) addServers(g *run.Group) error {
	l := d.settings.Listen
	e := entry.New(d.router, d.config.Config,
		entry.WithClock(d.clock),
		entry.WithScope(d.scope),
		entry.WithBody(d.settings.Limits.Body),
		entry.WithRequests(d.settings.Limits.Connections),
		entry.WithDraining(d.drain.isLeaving),
	)
	if err := d.addHTTP(g, "Caller", l.Caller, e.Handler()); err != nil {
		return err
	}
	s := &status.Server{
		Ready:   d.notReady,
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
		ClearKeys: d.book.Clear,
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
