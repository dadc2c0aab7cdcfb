package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Policy is a scheduling policy for one failure domain.
type Policy struct {
	Name       string
	Configure  func(c config.Config)
	PutWorker  func(w fleet.Worker)
	DropWorker func(name string) []string
	Submit     func(j fleet.Job) error
	Adopt      func(j fleet.Job, placement []fleet.Assignment, started time.Time)
	Cancel     func(ids []string) []string
	Started    func(id string, at time.Time)
	Ended      func(x plan.Ended)
	Pass       func(now time.Time) plan.Decisions
	// SetSlowness tells what is known of the speed of a worker; nil if the policy has no use for it.
	SetSlowness func(worker string, slowness float64)
}

// PlannerPolicy returns the project's own planner as a policy.
func PlannerPolicy(domain string, opts ...plan.Option) Policy {
	p := plan.New(domain, opts...)
	return Policy{
		Name: "ours", Configure: p.Configure, PutWorker: p.PutWorker, DropWorker: p.DropWorker, Submit: p.Submit,
		Adopt: p.Adopt, Cancel: p.Cancel, Started: p.Started, Ended: p.Ended, Pass: p.Pass, SetSlowness: p.SetSlowness,
	}
}

// baseline is a scheduler without guarantees, run time estimates or preemption, for comparison.
type baseline struct {
	ledger  *place.Ledger
	config  config.Config
	queue   []fleet.Job
	running map[string][]*place.Site
	jobs    map[string]fleet.Job
	// strict orders the queue by urgency and starts nothing after the first job that does not fit.
	strict bool
}

// FirstFitPolicy returns the first-fit baseline: jobs in order of arrival, each on the first workers that fit; jobs
// that do not fit are skipped.
func FirstFitPolicy() Policy {
	return newBaseline("first-fit", false)
}

// StrictPriorityPolicy returns the strict priority baseline, without backfill: nothing overtakes the first blocked job.
func StrictPriorityPolicy() Policy {
	return newBaseline("strict", true)
}

func newBaseline(name string, strict bool) Policy {
	b := &baseline{ledger: place.New(), running: map[string][]*place.Site{}, jobs: map[string]fleet.Job{}, strict: strict}
	return Policy{
		Name: name, Configure: func(c config.Config) { b.config = c }, PutWorker: func(w fleet.Worker) { b.ledger.Put(w) },
		DropWorker: b.drop, Submit: b.submit, Adopt: b.adopt, Cancel: b.cancel, Started: func(string, time.Time) {},
		Ended: b.ended, Pass: b.pass,
	}
}

func (b *baseline) drop(name string) []string {
	s := b.ledger.Drop(name)
	var ids []string
	for id, ss := range b.running {
		if s != nil && slices.Contains(ss, s) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (b *baseline) submit(j fleet.Job) error {
	b.queue = append(b.queue, j)
	return nil
}

func (b *baseline) adopt(j fleet.Job, placement []fleet.Assignment, _ time.Time) {
	var ss []*place.Site
	for _, a := range placement {
		if s := b.ledger.Get(a.Worker); s != nil {
			ss = append(ss, s)
		}
	}
	b.reserve(j, ss)
}

func (b *baseline) reserve(j fleet.Job, ss []*place.Site) {
	for _, s := range ss {
		s.Used = s.Used.Plus(place.TaskResources(j.Shape))
	}
	b.running[j.ID] = ss
	b.jobs[j.ID] = j
}

func (b *baseline) cancel(ids []string) []string {
	var out []string
	isCancelled := map[string]bool{}
	for _, id := range ids {
		isCancelled[id] = true
	}
	b.queue = slices.DeleteFunc(b.queue, func(j fleet.Job) bool {
		if isCancelled[j.ID] {
			out = append(out, j.ID)
		}
		return isCancelled[j.ID]
	})
	return out
}

func (b *baseline) ended(x plan.Ended) {
	j, ok := b.jobs[x.Job]
	if !ok {
		return
	}
	for _, s := range b.running[x.Job] {
		s.Used = s.Used.Minus(place.TaskResources(j.Shape))
	}
	delete(b.running, x.Job)
	delete(b.jobs, x.Job)
	if x.Requeue {
		b.queue = append(b.queue, j)
	}
}

func (b *baseline) rank(j fleet.Job) int {
	if !b.strict {
		return 0
	}
	return b.config.Profiles[j.Profile].Urgency.Rank()
}

func (b *baseline) pass(time.Time) plan.Decisions {
	var d plan.Decisions
	slices.SortStableFunc(b.queue, func(x, y fleet.Job) int {
		return cmp.Or(cmp.Compare(b.rank(x), b.rank(y)), x.Submitted.Compare(y.Submitted), cmp.Compare(x.ID, y.ID))
	})
	failed := map[fleet.Shape]bool{}
	blocked := false
	b.queue = slices.DeleteFunc(b.queue, func(j fleet.Job) bool {
		if blocked || failed[j.Shape] {
			return false
		}
		ss := b.firstFit(j.Shape)
		if ss == nil {
			failed[j.Shape] = true
			blocked = b.strict
			return false
		}
		j.Attempt++
		b.reserve(j, ss)
		as := make([]fleet.Assignment, len(ss))
		for i, s := range ss {
			as[i] = fleet.Assignment{Task: i, Worker: s.Worker.Name}
		}
		d.Starts = append(d.Starts, plan.Start{Job: j, Placement: as})
		return true
	})
	return d
}

// firstFit returns the first workers, in order of rack and name, that fit the gang within its adjacency level, one
// entry per task, or nil.
func (b *baseline) firstFit(s fleet.Shape) []*place.Site {
	n := place.TaskResources(s)
	var inDomain []*place.Site
	for _, r := range b.ledger.Racks() {
		var inRack []*place.Site
		for _, x := range r.Sites {
			var inWorker []*place.Site
			for range min(x.Free().Holds(n), s.Tasks) {
				inWorker = append(inWorker, x)
			}
			if s.Adjacent == fleet.LevelWorker && len(inWorker) == s.Tasks {
				return inWorker
			}
			inRack = append(inRack, inWorker...)
		}
		if s.Adjacent == fleet.LevelRack && len(inRack) >= s.Tasks {
			return inRack[:s.Tasks]
		}
		inDomain = append(inDomain, inRack...)
	}
	if s.Adjacent == fleet.LevelDomain && len(inDomain) >= s.Tasks {
		return inDomain[:s.Tasks]
	}
	return nil
}
