package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/lease"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/coordination/owner"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/coordination/sched"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
	"github.com/pkg/errors"
)

// buildComponents builds the components in order of their dependencies. Components that depend on each other are connected
// through methods of the daemon.
func (d *Daemon) buildComponents() error {
	h := d.settings.Host
	d.stamps = events.NewClock(d.clock.Now)
	d.ring = events.NewRing(h.Name, d.settings.Timeline.Events, d.stamps)
	d.pool = peer.NewPool(peer.WithDial(d.deps.Dial), peer.WithClock(d.clock), peer.WithScope(d.scope))
	d.buildPolicy()
	d.buildStream()
	d.buildMembers()
	d.buildOwner()
	d.buildWork()
	d.buildSched()
	d.buildRouter()
	d.stream.Subscribe(d.policy.Fold)
	d.stream.Subscribe(d.notices.Fold)
	d.stream.Subscribe(d.owner.Fold)
	d.stream.Subscribe(d.ledger.Fold)
	d.stream.Subscribe(d.replica.Fold)
	return nil
}

func (d *Daemon) buildPolicy() {
	d.policy = policy.New(
		policy.WithAppend(d.appendRecord, func(err error) bool { return errors.Is(err, stream.ErrLogDown) }),
		policy.WithGuaranteeCheck(checkGuarantees, func() []fleet.Worker { return d.members.AllWorkers() }),
		policy.WithMembers(d.listPolicyMembers),
		policy.WithNoticeCheck(func(now time.Time, before, after config.Config, from time.Time) error {
			return d.notices.CheckNotice(now, before, after, from)
		}),
		policy.WithForecast(func() ([]byte, error) { return d.notices.Forecast() }),
		policy.WithRank(d.hostRank),
		policy.WithChanged(d.onConfigChange),
		policy.WithClock(d.clock),
		policy.WithEvents(d.ring),
		policy.WithScope(d.scope),
	)
	d.config = d.policy.State()
	d.notices = notice.New(
		notice.WithConfig(d.policy.Config),
		notice.WithWorkers(func() []fleet.Worker { return d.members.AllWorkers() }),
		notice.WithGuaranteeCheck(checkGuarantees),
		notice.WithAppend(d.appendRecord),
		notice.WithOwnsDomain(d.ownsDomain),
		notice.WithTaskCount(d.countTasksUnderStop),
		notice.WithClock(d.clock),
		notice.WithEvents(d.ring),
		notice.WithScope(d.scope),
	)
}

// appendRecord gives access to the stream, which is built after the components that append to it.
func (d *Daemon) appendRecord(ctx context.Context, r *wire.Record) (uint64, error) {
	return d.stream.Append(ctx, r)
}

func (d *Daemon) onConfigChange() {
	c := d.config.Config()
	d.scope.Gauge("config_offset").Update(float64(c.Offset))
	d.ring.Add(events.Event{Kind: events.ConfigInForce, Text: offsetText(c.Offset)})
	if d.notices != nil {
		d.notices.Changed()
	}
	if d.sched != nil {
		d.sched.Reconfigure()
	}
}

func (d *Daemon) buildStream() {
	s := d.settings.Stream
	d.stream = stream.New(
		stream.WithLog(d.deps.Log),
		stream.WithPeers(d.pool.Peers(), func() []netip.AddrPort { return d.members.Addrs() }),
		stream.WithClock(d.clock),
		stream.WithHost(d.settings.Host.Name),
		stream.WithRing(d.ring),
		stream.WithScope(d.scope.SubScope("stream")),
		stream.WithBatchDelay(s.BatchDelay),
		stream.WithAppendInterval(time.Second/time.Duration(s.Rate)),
		stream.WithSnapshot(d.takeSnapshot, d.loadSnapshot),
		stream.WithSnapshot(d.notices.TakeSnapshot, d.notices.LoadSnapshot),
		stream.WithGapHandler(d.onLogGap),
	)
}

func (d *Daemon) buildMembers() {
	h, m := d.settings.Host, d.settings.Membership
	var seeds []netip.AddrPort
	for _, s := range d.settings.Peers.Seeds {
		seeds = append(seeds, s.Addr)
	}
	d.members = member.New(
		member.WithSelf(h.Name, h.Domain, d.settings.Listen.Peer),
		member.WithPeers(d.pool.Peers()),
		member.WithHosts(d.deps.Hosts),
		member.WithSeeds(seeds...),
		member.WithClock(d.clock),
		member.WithStamps(d.stamps),
		member.WithRing(d.ring),
		member.WithScope(d.scope.SubScope("member")),
		member.WithIntervals(m.Heartbeat, m.Suspect, m.Remove),
		member.WithDigestInterval(m.Digest),
		member.WithOwnership(func() member.Ownership { return d.owner.Ownership() }),
		member.WithOnHeartbeat(func(m member.Member) { d.owner.HandleHeartbeat(m) }),
		member.WithOnHeartbeatAck(func(sent time.Time, m member.Member) { d.owner.Acked(sent, m) }),
		member.WithOnWorkerChanged(func(w string) { d.leases.Suspect(w) }),
		member.WithConfigOffset(d.config.Next),
		member.WithOnNewerOffset(d.stream.ObservePeerOffset),
		member.WithOnceComplete(func() bool { return d.ledger.IsComplete() }),
		member.WithSummary(d.fillDigest),
		member.WithUsage(func() map[string]int { return d.sched.Usage() }),
	)
}

func (d *Daemon) fillDigest(g *wire.Digest) {
	s := d.sched.Summary()
	g.FreeAccelerators = int32(s.FreeAccelerators)
	g.Accelerators = int32(s.Accelerators)
	g.UrgentWaitMillis = s.Wait[config.Urgent].Milliseconds()
	g.NormalWaitMillis = s.Wait[config.Normal].Milliseconds()
	g.QuietWaitMillis = s.Wait[config.Quiet].Milliseconds()
}

func (d *Daemon) buildOwner() {
	h := d.settings.Host
	d.owner = owner.New(
		owner.WithSelf(h.Name, h.Domain),
		owner.WithMembers(d.members.Self, d.members.Peers),
		owner.WithLog(d.stream.Append, d.stream.Queue, d.stream.IsUp),
		owner.WithClock(d.clock),
		owner.WithRing(d.ring),
		owner.WithScope(d.scope.SubScope("owner")),
		owner.WithOnStartTerm(func(ctx context.Context, t fleet.Term) { d.gainOwnership(ctx, t) }),
		owner.WithOnEndTerm(func(t fleet.Term) { d.loseOwnership(t) }),
		owner.WithAnnounce(d.members.Announce),
		owner.WithTiming(d.settings.Owner.Lease, d.settings.Membership.Suspect, claimWait, rankStep),
	)
	d.leases = lease.New(
		lease.WithSelf(h.Name),
		lease.WithHosts(d.readyHosts),
		lease.WithWorkers(d.deps.Workers, func() []fleet.Worker { return d.members.Workers() }),
		lease.WithTerm(d.owner.LeaseTerm),
		lease.WithClock(d.clock),
		lease.WithRing(d.ring),
		lease.WithScope(d.scope.SubScope("lease")),
		lease.WithDuration(d.settings.Worker.Lease),
		lease.WithChanged(d.members.NotifyOwner),
		lease.WithReport(d.handleWorkerReport),
		lease.WithLost(func(w string, _ error) { d.sched.RemoveWorker(w) }),
		lease.WithFenced(d.owner.ObserveTerm),
	)
}

const (
	// claimWait bounds the append of an ownership claim to the log.
	claimWait = 400 * time.Millisecond
	// rankStep, multiplied by the rank of a host, is how long the ownership must be vacant before that host claims it.
	rankStep = 800 * time.Millisecond
	// maxPollInterval is the longest interval at which the workers of a running gang are polled. It can be long, since lease
	// renewals by all hosts tell the owner which workers have changed.
	maxPollInterval = 2 * time.Minute
)

// handleWorkerReport passes the report that answered a lease renewal to the gangs on the worker and to the scheduler.
func (d *Daemon) handleWorkerReport(r fleet.Report) {
	d.gangs.Observe(r.Worker.Name, r, r.Asked)
	d.sched.ReportWorker(r)
}

func (d *Daemon) gainOwnership(ctx context.Context, t fleet.Term) {
	d.log.Info("became owner of failure domain", "Domain", d.settings.Host.Domain, "Term", t.String())
	d.sched.StartTerm(ctx, t)
}

func (d *Daemon) loseOwnership(t fleet.Term) {
	d.log.Info("no longer owner of failure domain", "Domain", d.settings.Host.Domain, "Term", t.String())
	d.sched.EndTerm(t)
}

func (d *Daemon) buildWork() {
	h := d.settings.Host
	resolve := func(w string) (netip.AddrPort, bool) { return d.sched.Resolve(w) }
	bounds := gang.DefaultBounds()
	bounds.MaxPollInterval = maxPollInterval
	d.gangs = gang.New(
		gang.WithBounds(bounds),
		gang.WithLease(d.settings.Worker.Lease),
		gang.WithWorkers(d.deps.Workers),
		gang.WithClock(d.clock),
		gang.WithCheck(d.owner.Check),
		gang.WithResolve(resolve),
		gang.WithOutcomeStored(func(t fleet.TaskRef) bool {
			_, ok := d.replica.GetOutcome(t.Job)
			return ok
		}),
		gang.WithRing(d.ring),
		gang.WithScope(d.scope),
	)
	b := dedup.DefaultBounds()
	b.Lifetime = d.settings.Once.KeyLifetime
	b.Validity = d.settings.Once.MarkerValidity
	d.ledger = dedup.New(
		dedup.WithDomain(h.Domain, h.Domains),
		dedup.WithHost(h.Name),
		dedup.WithBounds(b),
		dedup.WithClock(d.clock),
		dedup.WithPeers(d.dedupPeers, d.pool.Peers()),
		dedup.WithLog(d.stream.Append, d.stream.Queue, isLogDown),
		dedup.WithCheck(d.owner.Check),
		dedup.WithOwner(d.ownedTerm),
		dedup.WithLogUp(d.stream.IsUp),
		dedup.WithWorkers(d.deps.Workers, resolve),
		dedup.WithRing(d.ring),
		dedup.WithScope(d.scope),
	)
	d.replica = mirror.New(
		mirror.WithDomain(h.Domain),
		mirror.WithClock(d.clock),
		mirror.WithPeers(d.mirrorPeers, d.pool.Peers()),
		mirror.WithQueue(d.stream.Queue),
		mirror.WithOwner(d.ownedTerm),
		mirror.WithBytes(d.settings.Limits.Answers),
		mirror.WithScope(d.scope),
	)
}

// isLogDown reports whether an append failed because the log did not answer in time.
func isLogDown(err error) bool {
	return errors.Is(err, stream.ErrLogDown) || errors.Is(err, stream.ErrOutcomeUnknown)
}

func (d *Daemon) ownedTerm() (fleet.Term, bool) {
	t := d.owner.Term()
	return t, !t.IsZero()
}

func (d *Daemon) buildSched() {
	d.sched = sched.New(
		d.settings.Host.Domain,
		sched.WithClock(d.clock),
		sched.WithRing(d.ring),
		sched.WithScope(d.scope),
		sched.WithWorkers(d.deps.Workers),
		sched.WithGangs(d.gangs),
		sched.WithLedger(d.ledger),
		sched.WithReplica(d.replica),
		sched.WithLease(d.settings.Worker.Lease),
		sched.WithOnStart(d.observeWait),
		sched.WithWorkerList(d.members.Workers),
		sched.WithConfig(d.config.Config),
		sched.WithLeaseCheck(d.owner.Check),
		sched.WithUsageElsewhere(d.members.RemoteUsage),
		sched.WithPlanner(d.newPlanner),
	)
}

func (d *Daemon) newPlanner() *plan.Planner {
	return plan.New(d.settings.Host.Domain,
		plan.WithFragmentationWeight(d.settings.Plan.FragmentationWeight),
		plan.WithQueueLimits(d.settings.Queue.PerOrganisation, totalQueueFactor*d.settings.Queue.PerOrganisation),
	)
}

// totalQueueFactor is the ratio of the queue limit of all organisations together to the limit of one organisation.
const totalQueueFactor = 2

func (d *Daemon) buildRouter() {
	h := d.settings.Host
	d.router = route.New(h.Domain, h.Domains, d.pool.Peers(),
		route.WithClock(d.clock),
		route.WithScope(d.scope),
		route.WithOwner(d.findOwner),
		route.WithHome(func(org, key string) string { return dedup.Home(org, key, h.Domains) }),
		route.WithDomainLoads(d.routeViews),
	)
}
