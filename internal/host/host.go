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
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/auburncleat/auburncleat/internal/transport/guard"
	"github.com/uber-go/tally/v4"
)

// Deps holds the external dependencies of a host, which a platform adapter provides.
type Deps struct {
	Store   port.Store
	Runners port.Runners
	// FollowRunners watches the worker list until ctx ends.
	FollowRunners func(ctx context.Context, put func(port.Runner), drop func(string)) error
	// ConfigTopic is the topic of the operator's configuration. DecodeConfig decodes an entry, or returns nil if the entry is
	// not the configuration.
	ConfigTopic  port.Topic
	DecodeConfig func(e port.Entry) (*queue.Config, error)
	// DecodeEvacuation decodes an entry of the same topic that evacuates a failure domain or withdraws that. It returns nil for other
	// entries; it is nil itself where operators cannot evacuate.
	DecodeEvacuation func(e port.Entry) (*queue.EvacuationChange, error)
	// NewCallerHandler returns the HTTP handler for callers.
	NewCallerHandler func(CallerDeps) http.Handler
	// Peers calls other hosts, and ServePeers serves their calls on a listener until ctx ends.
	Peers      port.Peers
	ServePeers func(ctx context.Context, l net.Listener, s PeerHandlers) error
	Listen     func(a netip.AddrPort) (net.Listener, error)
}

// CallerDeps holds what the HTTP handler for callers uses of a host.
type CallerDeps struct {
	// Serve executes a request, and Admit refuses one whatever its body is.
	Serve func(context.Context, intake.Request) (intake.Reply, error)
	Admit func(host, path, key string) error
	// Guard bounds the memory that callers take, and MaxBody the body of one request.
	Guard   *guard.Guard
	MaxBody fleet.Bytes
	Log     *slog.Logger
}

// PeerHandlers holds the handlers for the calls of other hosts.
type PeerHandlers struct {
	// Take serves a request that another host forwards.
	Take func(context.Context, *wire.TakeRequest, *wire.TakeReply) error
	// Workers lists the workers as the owner tracks them.
	Workers func(context.Context, *wire.Empty, *wire.WorkersReply) error
	// Lead tells the state of this host's term, whether or not the term is over.
	Lead func(context.Context, *wire.Empty, *wire.LeadState) error
}

const (
	// standbyReadInterval is the time between two reads of the jobs topic on a host that is not the owner and gets no requests
	// for jobs. Together with the wait of an idle read it has to stay below the maximum age of the job table
	// from which the intake concludes that a job does not exist.
	standbyReadInterval = 800 * time.Millisecond
	// ownerReadInterval is the time between two reads of the jobs topic on the owner, which starts the new jobs that it reads.
	ownerReadInterval = 5 * time.Millisecond
	// revokeMargin is the part of Bounds.Revoke that is reserved for requests in flight; the rest limits the age of the
	// configuration under which requests are admitted.
	revokeMargin = 1500 * time.Millisecond
	// Records of callers are stored within KeepEnded divided by lateRecordDivisor, or not at all, so that the end of a job and the cancel
	// of one that is not known outlast them.
	lateRecordDivisor = 2
	instanceIDBytes   = 6
	// ignoredLogInterval is the minimum time between two log lines about job records that no host wrote.
	ignoredLogInterval = 10 * time.Second
	// ownerGCPercent is the GC percentage of the owner, which has more spare memory than processor time. The memory limit
	// still applies.
	ownerGCPercent = 200
)

// Host is one entry host.
type Host struct {
	settings *setup.Site
	deps     Deps
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	metrics  http.Handler
	table    *jobs.Table
	jobs     *feed.Follower
	config   *feed.Follower
	writer   *feed.Writer
	// ignoredLines limits the log lines about job records that no host wrote.
	ignoredLines *clock.Limiter
	elect        *elect.Election
	intake       *intake.Intake
	hosts        *relay.Hosts
	relay        *relay.Relay
	droppedLines func() int64
	events       *events.Ring
	// evacuationLog belongs to the reader of the operator's topic, which publishes what is in force as evacuations.
	evacuationLog queue.EvacuationLog
	evacuations   atomic.Pointer[queue.Evacuations]
	// engine runs the jobs while this host owns them, and is nil otherwise.
	engine   atomic.Pointer[exec.Engine]
	leaving  atomic.Bool
	wasReady atomic.Bool
	// drained is closed after the shutdown of the callers' server, when no request is in flight.
	drained chan struct{}
}

// Option sets one property of a Host.
type Option func(*Host)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option { return func(h *Host) { h.clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(h *Host) { h.log = l } }

// WithMetrics sets the root scope and the handler that serves it.
func WithMetrics(s tally.Scope, m http.Handler) Option {
	return func(h *Host) { h.scope, h.metrics = s, m }
}

// WithEvents sets the ring of events that operators read as the time line.
func WithEvents(r *events.Ring) Option { return func(h *Host) { h.events = r } }

// WithDroppedLines sets the function that returns the number of dropped log lines.
func WithDroppedLines(f func() int64) Option { return func(h *Host) { h.droppedLines = f } }

var jobsTopic = port.Topic{Name: "jobs", IsKeyed: true}

// New builds a host. Run starts it.
func New(s *setup.Site, deps Deps, opts ...Option) *Host {
	h := &Host{
		settings: s, deps: deps, clock: clock.System(), log: slog.Default(), scope: tally.NoopScope,
		metrics: http.NotFoundHandler(), table: jobs.NewTable(), drained: make(chan struct{}), droppedLines: func() int64 { return 0 },
		events: events.NewRing(s.Host.Name, 1, events.NewClock(clock.System().Now)),
	}
	for _, o := range opts {
		o(h)
	}
	h.ignoredLines = clock.NewLimiter(h.clock, ignoredLogInterval)
	instance := newInstanceID()
	h.jobs = feed.NewFollower(deps.Store, jobsTopic, feed.Handler{Reload: h.reloadJobs, Apply: h.applyJob}, h.clock, h.log,
		feed.WithReadInterval(standbyReadInterval))
	h.config = feed.NewFollower(deps.Store, deps.ConfigTopic, feed.Handler{Reload: h.reloadConfig, Apply: h.applyConfig}, h.clock, h.log)
	h.writer = feed.NewWriter(deps.Store, jobsTopic, s.Host.Name+"-"+instance, 1, h.clock, h.log,
		feed.WithMaxAge(s.Bounds.KeepEnded/lateRecordDivisor))
	h.elect = elect.New(deps.Store, s.Host.Name, instance, s.Listen.Peer, h.clock, h.log,
		elect.WithProcessorShare(s.Limits.Processors), elect.WithProbe(h.probeOwner), elect.WithMaxLease(exec.MaxLease),
		elect.WithScope(h.scope))
	h.intake = intake.New(h.table, h.jobs, h.writer, h.config.Fresh, intakeLimits(s), h.clock, h.log, h.scope)
	self := relay.Host{Name: s.Host.Name, Domain: s.Host.Domain, Addr: s.Listen.Peer}
	h.hosts = relay.NewHosts(deps.Store, self, h.clock, h.log)
	h.relay = relay.New(h.intake, deps.Peers, h.findPeers, h.clock, h.log, h.scope)
	return h
}

func intakeLimits(s *setup.Site) intake.Limits {
	return intake.Limits{MaxConfigAge: s.Bounds.Revoke - revokeMargin, MaxOpenJobs: s.Limits.MaxOpenJobs, JobMemory: jobMemory(s)}
}

// Reload applies the settings that can change at run time, and returns the changed sections that need a restart.
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
	if !slices.Equal(s.Plan.Disable, old.Plan.Disable) || !slices.Equal(s.Plan.Enable, old.Plan.Enable) {
		needStart = append(needStart, "Plan")
	}
	m := s.Limits
	m.Memory, m.MaxOpenJobs, m.JobMemory = old.Limits.Memory, old.Limits.MaxOpenJobs, old.Limits.JobMemory
	if m != old.Limits {
		needStart = append(needStart, "Limits")
	}
	return needStart
}

// findPeers returns the addresses of the other hosts. The owner comes first, since it has reached the store recently.
func (h *Host) findPeers() []netip.AddrPort {
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

// newInstanceID returns a random id for this run of the process.
func newInstanceID() string {
	b := make([]byte, instanceIDBytes)
	_, _ = rand.Read(b) // Read never returns an error; it crashes the program instead.
	return hex.EncodeToString(b)
}

func (h *Host) reloadJobs(es []port.Entry, before int64) {
	rs := make([]jobs.StoredRecord, len(es))
	for i, e := range es {
		rs[i] = jobs.StoredRecord{Record: jobs.Record{Key: e.Key, Value: e.Value}, Offset: e.Offset}
	}
	if err := h.table.Reload(rs, before); err != nil {
		h.jobRecordIgnored("Cause", err.Error())
	}
	h.log.Info("reloaded jobs from store", "Records", len(es), "Before", before)
}

func (h *Host) applyJob(e port.Entry) {
	if err := h.table.Apply(e.Offset, jobs.Record{Key: e.Key, Value: e.Value}); err != nil {
		h.jobRecordIgnored("Key", e.Key, "Offset", e.Offset, "Cause", err.Error())
	}
}

// jobRecordIgnored counts and logs a record in the topic of the jobs that no host wrote.
func (h *Host) jobRecordIgnored(args ...any) {
	h.scope.Counter("job_records_ignored").Inc(1)
	if h.ignoredLines.Pass() {
		h.log.Error("cannot apply job record", args...)
	}
}

// runEngine runs the jobs while this host owns them.
func (h *Host) runEngine(ctx context.Context, o elect.Owner) {
	h.jobs.SetReadInterval(ownerReadInterval)
	defer h.jobs.SetReadInterval(standbyReadInterval)
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGCPercent))
	b := h.settings.Bounds
	x := exec.New(exec.Deps{
		Store: h.deps.Store, Runners: h.deps.Runners, Jobs: jobsTopic, Table: h.table, Follower: h.jobs,
		NewestToken: h.elect.NewestToken, Config: h.intake.Config, Evacuations: h.evacuations.Load, FollowRunners: h.deps.FollowRunners,
	}, exec.Bounds{
		MaxHold: b.MaxHold, StopTimeout: b.StopTimeout, Claim: b.Claim, GangTimeout: b.GangTimeout, KeepEnded: b.KeepEnded,
	},
		o.Term, exec.WithClock(h.clock), exec.WithLog(h.log), exec.WithScope(h.scope.SubScope("owner")),
		exec.WithLastRenewal(h.elect.LastRenewal), exec.WithLongLeaseAt(h.elect.LongLeaseAt),
		exec.WithFormerHeardAt(h.elect.FormerHeardAt), exec.WithEnabled(h.settings.Plan.Enable...),
		exec.WithDisabled(h.settings.Plan.Disable...))
	h.engine.Store(x)
	defer h.engine.Store(nil)
	if err := x.Run(ctx); err != nil && ctx.Err() == nil {
		h.log.Warn("term ended", "Term", o.Term, "Cause", err.Error())
	}
}

// CheckReady returns nil if the host should get new connections, or the reason why not.
func (h *Host) CheckReady() error {
	if h.leaving.Load() {
		return errLeaving
	}
	if h.intake.Config() == nil {
		return errNoConfig
	}
	if age := h.clock.Age(h.config.Fresh()); age > storeUnresponsiveTimeout {
		return fmt.Errorf("store has not answered for %s: %w", age.Round(time.Millisecond), errNoStore)
	}
	return nil
}
