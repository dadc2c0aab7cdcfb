package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/elect"
	"github.com/auburncleat/auburncleat/internal/coordination/exec"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/coordination/relay"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/uber-go/tally/v4"
)

// Outside is what a host reaches and serves, as an adapter fills it in.
type Outside struct {
	Store   port.Store
	Runners port.Runners
	// FollowRunners follows the list of workers.
	FollowRunners func(ctx context.Context, put func(port.Runner), drop func(string)) error
	// ConfigTopic holds the operator's configuration, and DecodeConfig returns it, or nil for other entries.
	ConfigTopic  port.Topic
	DecodeConfig func(e port.Entry) (*queue.Config, error)
	// Callers makes the handler for callers, whose requests serve carries out.
	Callers func(serve func(context.Context, intake.Request) (intake.Reply, error), l *slog.Logger) http.Handler
	// Peers calls other hosts, and ServePeers answers their calls on a listener until ctx ends.
	Peers      port.Peers
	ServePeers func(ctx context.Context, l net.Listener, s Served) error
	Listen     func(a netip.AddrPort) (net.Listener, error)
}

// Served are the calls of other hosts that a host answers.
type Served struct {
	// Take serves a request that another host passes on.
	Take func(context.Context, *wire.TakeRequest, *wire.TakeReply) error
	// Workers lists the books of the owner.
	Workers func(context.Context, *wire.Empty, *wire.WorkersReply) error
}

const (
	// standbyPause is the time between two reads of the jobs on a host that does not own them and is not asked for any;
	// with the wait of an idle read it stays below the age at which a host says nothing of jobs that it does not know.
	standbyPause = 800 * time.Millisecond
	// ownerPause is the same on the owner, for whom each read may bring work.
	ownerPause = 5 * time.Millisecond
	// revokeMargin is kept of the bound on withdrawn keys for requests that are on their way.
	revokeMargin = 1500 * time.Millisecond
	lifetimeLen  = 6
	// ownerGC is the growth of the heap, in percent, at which the owner collects garbage: it has more memory to spare than
	// processor time, and the limit of the memory holds all the same.
	ownerGC = 200
)

// Host is one entry host.
type Host struct {
	settings *setup.Site
	out      Outside
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	metrics  http.Handler
	table    *jobs.Table
	jobs     *feed.Follower
	config   *feed.Follower
	writer   *feed.Writer
	elect    *elect.Election
	intake   *intake.Intake
	hosts    *relay.Hosts
	relay    *relay.Relay
	dropped  func() int64
	events   *events.Ring
	// engine runs the jobs while this host owns them; nil while it does not.
	engine   atomic.Pointer[exec.Engine]
	leaving  atomic.Bool
	wasReady atomic.Bool
	// stopped is closed once the requests in flight are finished.
	stopped chan struct{}
}

// Option changes how a host is built.
type Option func(*Host)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(h *Host) { h.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(h *Host) { h.log = l } }

// WithMetrics sets where the host counts and what serves the counts.
func WithMetrics(s tally.Scope, m http.Handler) Option {
	return func(h *Host) { h.scope, h.metrics = s, m }
}

// WithEvents sets the time line that operators are shown.
func WithEvents(r *events.Ring) Option { return func(h *Host) { h.events = r } }

// WithDropped sets the function that tells how many lines of the log were dropped.
func WithDropped(f func() int64) Option { return func(h *Host) { h.dropped = f } }

var jobsTopic = port.Topic{Name: "jobs", IsKeyed: true}

// New returns a host that Run starts.
func New(s *setup.Site, out Outside, opts ...Option) *Host {
	h := &Host{
		settings: s, out: out, clock: clock.System(), log: slog.Default(), scope: tally.NoopScope,
		metrics: http.NotFoundHandler(), table: jobs.NewTable(), stopped: make(chan struct{}), dropped: func() int64 { return 0 },
		events: events.NewRing(s.Host.Name, 1, events.NewClock(clock.System().Now)),
	}
	for _, o := range opts {
		o(h)
	}
	life := newLifetime()
	h.jobs = feed.NewFollower(out.Store, jobsTopic, feed.Handler{Reload: h.reloadJobs, Apply: h.applyJob}, h.clock, h.log,
		feed.WithReadInterval(standbyPause))
	h.config = feed.NewFollower(out.Store, out.ConfigTopic, feed.Handler{Apply: h.applyConfig}, h.clock, h.log)
	h.writer = feed.NewWriter(out.Store, jobsTopic, s.Host.Name+"-"+life, 1, h.clock, h.log)
	h.elect = elect.New(out.Store, s.Host.Name, life, s.Listen.Peer, h.clock, h.log, elect.WithProcessorShare(s.Limits.Processors))
	h.intake = intake.New(h.table, h.jobs, h.writer, h.config.Fresh, intakeLimits(s), h.clock, h.log, h.scope)
	self := relay.Host{Name: s.Host.Name, Domain: s.Host.Domain, Addr: s.Listen.Peer}
	h.hosts = relay.NewHosts(out.Store, self, h.clock, h.log)
	h.relay = relay.New(h.intake, out.Peers, h.findOthers, h.clock, h.log, h.scope)
	return h
}

func intakeLimits(s *setup.Site) intake.Limits {
	return intake.Limits{MaxConfigAge: s.Bounds.Revoke - revokeMargin, MaxOpenJobs: s.Limits.MaxOpenJobs}
}

// Reload puts those settings in force that can change while the host runs, and names the sections that need a new start.
func (h *Host) Reload(s *setup.Site) (needStart []string) {
	old := h.settings
	h.intake.SetLimits(intakeLimits(s))
	if s.Host != old.Host {
		needStart = append(needStart, "Host")
	}
	if s.Listen != old.Listen {
		needStart = append(needStart, "Listen")
	}
	if s.Store != old.Store {
		needStart = append(needStart, "Store")
	}
	b := s.Bounds
	b.Revoke = old.Bounds.Revoke
	if b != old.Bounds {
		needStart = append(needStart, "Bounds")
	}
	if s.Limits.Processors != old.Limits.Processors {
		needStart = append(needStart, "Limits")
	}
	return needStart
}

// findOthers returns the addresses of the other hosts, the owner's first, which has reached the store lately.
func (h *Host) findOthers() []netip.AddrPort {
	var out []netip.AddrPort
	if o := h.elect.Owner(); o.Addr.IsValid() && o.Addr != h.settings.Listen.Peer {
		out = append(out, o.Addr)
	}
	for _, x := range h.hosts.FindOthers() {
		if !slices.Contains(out, x.Addr) {
			out = append(out, x.Addr)
		}
	}
	return out
}

// newLifetime returns a name for this run of the process.
func newLifetime() string {
	b := make([]byte, lifetimeLen)
	_, _ = rand.Read(b) // It never fails, and would end the process if it did.
	return hex.EncodeToString(b)
}

func (h *Host) reloadJobs(es []port.Entry, before int64) {
	rs := make([]jobs.StoredRecord, len(es))
	for i, e := range es {
		rs[i] = jobs.StoredRecord{Record: jobs.Record{Key: e.Key, Value: e.Value}, Offset: e.Offset}
	}
	if err := h.table.Reload(rs, before); err != nil {
		h.log.Error("record of a job cannot be folded", "Cause", err.Error())
	}
	h.log.Info("jobs read anew", "Records", len(es), "Before", before)
}

func (h *Host) applyJob(e port.Entry) {
	if err := h.table.Apply(e.Offset, jobs.Record{Key: e.Key, Value: e.Value}); err != nil {
		h.log.Error("record of a job cannot be folded", "Key", e.Key, "Offset", e.Offset, "Cause", err.Error())
	}
}

func (h *Host) applyConfig(e port.Entry) {
	c, err := h.out.DecodeConfig(e)
	if err != nil {
		h.log.Error("configuration cannot be read", "Offset", e.Offset, "Cause", err.Error())
		return
	}
	if c != nil {
		h.intake.SetConfig(c)
	}
}

// own runs the jobs while this host owns them.
func (h *Host) own(ctx context.Context, o elect.Owner) {
	h.jobs.SetReadInterval(ownerPause)
	defer h.jobs.SetReadInterval(standbyPause)
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGC))
	b := h.settings.Bounds
	x := exec.New(exec.Deps{
		Store: h.out.Store, Runners: h.out.Runners, Jobs: jobsTopic, Table: h.table, Follower: h.jobs,
		Config: h.intake.Config, FollowRunners: h.out.FollowRunners,
	}, exec.Bounds{MaxHold: b.MaxHold, StopTimeout: b.StopTimeout, Claim: b.Claim, GangTimeout: b.GangTimeout, KeepEnded: b.KeepEnded},
		o.Term, exec.WithClock(h.clock), exec.WithLog(h.log), exec.WithScope(h.scope.SubScope("owner")),
		exec.WithLastRenewal(h.elect.LastRenewal))
	h.engine.Store(x)
	defer h.engine.Store(nil)
	if err := x.Run(ctx); err != nil && ctx.Err() == nil {
		h.log.Warn("term ended", "Term", o.Term, "Cause", err.Error())
	}
}

// IsReady reports whether the host should get new connections, and why not.
func (h *Host) IsReady() error {
	if h.leaving.Load() {
		return errLeaving
	}
	if h.intake.Config() == nil {
		return errNoConfig
	}
	if age := h.clock.Age(h.config.Fresh()); age > maxAge {
		return fmt.Errorf("store has not answered for %s: %w", age.Round(time.Millisecond), errNoStore)
	}
	return nil
}
