package plan

import (
	"cmp"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/cost"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/health"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/learn"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Planner schedules the jobs of one failure domain.
type Planner struct {
	domain       string
	config       config.Config
	profiles     map[string]*config.Profile
	ledger       *place.Ledger
	reservations *hold.Reservations
	jobs         map[string]*entry
	submissions  map[string]*submission
	// emptied lists the submissions that lost their last job, oldest first; some have jobs again.
	emptied []emptied
	// gangsOn lists the started gangs of each site.
	gangsOn map[*place.Site][]*entry
	// isPartial is set until all workers are known; until then no shape is rejected as impossible.
	isPartial bool
	// knownWorkers includes workers that were dropped, so that the loss of a rack does not make a shape impossible.
	knownWorkers map[string]fleet.Worker
	// usage holds the resources that each organisation uses in this failure domain.
	usage         map[string]place.Resources
	usedElsewhere map[string]int
	// guaranteed holds the accelerators guaranteed to the urgent jobs of each organisation.
	guaranteed map[string]int
	capacity   place.Resources
	// minWaitBound is the shortest wait bound of the guarantees; zero means none.
	minWaitBound        time.Duration
	fragmentationWeight float64
	headroom            headroomSettings
	// headrooms holds the headroom of each service.
	headrooms map[string]*headroom
	// demand holds, for each rank, the recent demand of all jobs that are more urgent.
	demand [rankCount]cost.Demand
	// competition is how jobs competed for room in the last pass over all of them; nil before the first.
	competition *Competition
	// recentShapes are the shapes of the most recent urgent gangs.
	recentShapes []fleet.Shape
	// lossBounds are the loss bounds of urgent jobs and of other jobs; see WithLossBounds.
	lossBounds [2]float64
	// claimBound is how long a job within the guaranteed accelerators may wait for its start; zero means no bound.
	claimBound time.Duration
	// idleBound is how long a submission may idle beside room for two of it; zero means no bound.
	idleBound time.Duration
	// restartCost is the run time that a preempted gang loses in addition to the time of its checkpoint.
	restartCost  time.Duration
	limits       limits
	startRate    tokenBucket
	queued       map[queueKey]int
	newestByRank [rankCount][]*entry
	pendingStops []*entry
	passInterval passInterval
	queuedTotal  int
	refusals     []Refusal
	fitCache     map[fitQuery]bool
	throttles    []Throttle
	health       *health.Tracker
	estimator    *learn.Estimator
	// dirty is set when reservations have to be repaired before the next decision.
	dirty bool
	// evacuated reports whether a failure domain is evacuated; nil means none.
	evacuated func(domain string) bool
	now       time.Time
	firstPass time.Time
	// steadySince is when the period began in which the unused room of the sites is observed.
	steadySince time.Time
	targets     []place.Target
	pass        passState
	// slowness holds how much longer than a typical worker each worker takes, if that is known; isUneven is set if some worker
	// is known to differ.
	slowness map[string]float64
	isUneven bool
	// urgentStretch is the tightest turnaround target of urgent jobs, relative to their run time; zero if none is known.
	urgentStretch float64
	// disabled holds the mechanisms that are switched off.
	disabled map[Mechanism]bool
	// ignoreGuarantees lets unstoppable jobs use reserved capacity; tests set it to show that they detect the
	// violation.
	ignoreGuarantees bool
	// noReservations disables reservations for blocked gangs; tests set it to show that these would starve.
	noReservations bool
}

// Option configures a Planner.
type Option func(*Planner)

// WithFragmentationWeight sets the weight of fragmentation between 0 (shortest completion time) and 1 (least
// fragmentation).
func WithFragmentationWeight(w float64) Option {
	return func(p *Planner) { p.fragmentationWeight = min(max(w, 0), 1) }
}

const defaultFragmentationWeight = 0.5

// WithPartialFleet creates a planner that does not know its workers yet; it rejects no shape as impossible until
// SetFleetComplete is called.
func WithPartialFleet() Option {
	return func(p *Planner) { p.isPartial = true }
}

// SetFleetComplete declares that all workers are known.
func (p *Planner) SetFleetComplete() {
	p.isPartial = false
}

// New returns a planner for a failure domain, without workers or jobs.
func New(domain string, opts ...Option) *Planner {
	l := place.New()
	p := &Planner{
		domain:              domain,
		profiles:            map[string]*config.Profile{},
		ledger:              l,
		reservations:        hold.New(l),
		jobs:                map[string]*entry{},
		submissions:         map[string]*submission{},
		gangsOn:             map[*place.Site][]*entry{},
		knownWorkers:        map[string]fleet.Worker{},
		headrooms:           map[string]*headroom{},
		usage:               map[string]place.Resources{},
		usedElsewhere:       map[string]int{},
		fragmentationWeight: defaultFragmentationWeight,
		restartCost:         defaultRestartCost,
		limits:              defaultLimits(),
		queued:              map[queueKey]int{},
		fitCache:            map[fitQuery]bool{},
		slowness:            map[string]float64{},
		disabled:            map[Mechanism]bool{},
		health:              health.New(),
		estimator:           learn.New(),
	}
	for _, m := range OptionalMechanisms {
		p.disabled[m] = true
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Configure replaces the current configuration.
func (p *Planner) Configure(c config.Config) {
	p.config = c
	changed := p.setProfiles(c.Profiles)
	oldBound := p.minWaitBound
	needs := GuaranteeNeeds(p.domain, c.Profiles)
	p.minWaitBound = 0
	for _, n := range needs {
		if n.WaitBound > 0 && (p.minWaitBound == 0 || n.WaitBound < p.minWaitBound) {
			p.minWaitBound = n.WaitBound
		}
	}
	for _, id := range p.reservations.SetNeeds(needs) {
		p.detachFromGang(p.jobs[id])
	}
	p.applyProfiles(func(e *entry) bool { return changed[e.job.Profile] || p.minWaitBound != oldBound })
	p.invalidate()
}

// applyProfiles updates the selected jobs after a change of profiles. The oldest come first, because the newest in the
// resulting order are shed first.
func (p *Planner) applyProfiles(isOf func(*entry) bool) {
	var es []*entry
	for _, e := range p.jobs {
		if isOf(e) {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(x, y *entry) int {
		return cmp.Or(x.job.Submitted.Compare(y.job.Submitted), cmp.Compare(x.job.ID, y.job.ID))
	})
	for _, e := range es {
		p.applyProfile(e)
	}
}

// setProfiles replaces the profiles and returns the names of those that were added, removed or changed.
func (p *Planner) setProfiles(profiles map[string]config.Profile) map[string]bool {
	changed := map[string]bool{}
	old := p.profiles
	for n := range old {
		if _, ok := profiles[n]; !ok {
			changed[n] = true
		}
	}
	p.profiles = make(map[string]*config.Profile, len(profiles))
	for n, x := range profiles {
		if o := old[n]; o != nil && reflect.DeepEqual(*o, x) {
			p.profiles[n] = o
			continue
		}
		p.profiles[n] = &x
		changed[n] = true
	}
	return changed
}

// GuaranteeNeeds returns the guarantees of a failure domain, ordered by profile name.
func GuaranteeNeeds(domain string, profiles map[string]config.Profile) []hold.Need {
	var names []string
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	var out []hold.Need
	for _, n := range names {
		x := profiles[n]
		for _, g := range x.Guarantees {
			if g.Domain != domain {
				continue
			}
			out = append(out, hold.Need{
				Organisation: g.Organisation, Profile: n, Rank: x.Urgency.Rank(), Gangs: g.Gangs,
				Shape: g.Shape, WaitBound: x.WaitBound,
			})
		}
	}
	return out
}

// invalidate marks the reservations and the cached fit results as outdated.
func (p *Planner) invalidate() {
	p.dirty = true
	clear(p.fitCache)
}

// PutWorker adds or updates a worker.
func (p *Planner) PutWorker(w fleet.Worker) {
	isNew := p.ledger.Get(w.Name) == nil
	if !p.ledger.Put(w) {
		return
	}
	p.knownWorkers[w.Name] = w
	if isNew && p.isSettled() {
		p.health.Ramp(health.WorkerRef{Worker: w.Name, Rack: w.Rack}, p.now, p.ledger.Len())
	}
	s := p.ledger.Get(w.Name)
	s.Closed, s.Slowness = w.Leaving || w.Avoided, p.slowness[w.Name]
	p.invalidate()
}

// DropWorker removes a worker and returns the ids of the jobs that had tasks on it.
func (p *Planner) DropWorker(name string) []string {
	s := p.ledger.Drop(name)
	if s == nil {
		return nil
	}
	p.invalidate()
	p.trimDroppedWorkers()
	p.health.Drop(name, p.now)
	var ids []string
	for _, e := range p.gangsOn[s] {
		ids = append(ids, e.job.ID)
	}
	sort.Strings(ids)
	return ids
}

const maxDroppedWorkers = 1024

// trimDroppedWorkers forgets all dropped workers once there are more than maxDroppedWorkers.
func (p *Planner) trimDroppedWorkers() {
	if len(p.knownWorkers)-p.ledger.Len() <= maxDroppedWorkers {
		return
	}
	for n := range p.knownWorkers {
		if p.ledger.Get(n) == nil {
			delete(p.knownWorkers, n)
		}
	}
}

// SetUsedElsewhere sets the accelerators that organisations use in other failure domains, which count towards their
// quotas.
func (p *Planner) SetUsedElsewhere(used map[string]int) {
	p.usedElsewhere = used
}

// UsedAccelerators returns the accelerators that each organisation uses in this failure domain.
func (p *Planner) UsedAccelerators() map[string]int {
	used := make(map[string]int, len(p.usage))
	for o, r := range p.usage {
		if r.Accelerators > 0 {
			used[o] = r.Accelerators
		}
	}
	return used
}

// UnkeptGuarantees returns the guaranteed gangs that cannot be provided at present, with the reason.
func (p *Planner) UnkeptGuarantees() []hold.Unkept {
	p.repair()
	return p.reservations.FindUnkept()
}

func (p *Planner) repair() {
	if !p.dirty {
		return
	}
	p.dirty = false
	p.reservations.Repair()
}
