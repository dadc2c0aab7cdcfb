package plan

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/pkg/errors"
)

// ErrNeverFits is returned when no set of workers of the failure domain can hold a shape.
var ErrNeverFits = errors.New("shape can never be placed")

// ErrShapeNeverFits describes a shape that can never be placed and the nearest one that can; it matches ErrNeverFits.
type ErrShapeNeverFits struct {
	Shape fleet.Shape
	// Nearest has no tasks if no similar shape fits.
	Nearest fleet.Shape
	Why     string
}

// Error names the shape, the reason and the nearest shape that fits.
func (e ErrShapeNeverFits) Error() string {
	if e.Nearest.Tasks == 0 {
		return fmt.Sprintf("shape %s can never be placed: %s", e.Shape, e.Why)
	}
	n := e.Nearest
	return fmt.Sprintf("shape %s can never be placed: %s; the nearest shape that fits is %s with %d processors and %d MB per task",
		e.Shape, e.Why, n, n.Processors, n.Memory/fleet.Megabyte)
}

// Is reports whether target is ErrNeverFits.
func (e ErrShapeNeverFits) Is(target error) bool {
	return target == ErrNeverFits
}

// FindUnfitGuarantees returns the guarantees that the workers cannot hold together, ordered by failure domain; an empty
// result means that all guarantees fit.
func FindUnfitGuarantees(workers []fleet.Worker, profiles map[string]config.Profile) []hold.Unfit {
	by := map[string][]fleet.Worker{}
	for _, w := range workers {
		by[w.Domain] = append(by[w.Domain], w)
	}
	for _, x := range profiles {
		for _, g := range x.Guarantees {
			by[g.Domain] = append(by[g.Domain], nil...)
		}
	}
	return hold.FitsAll(by, func(domain string) []hold.Need { return GuaranteeNeeds(domain, profiles) })
}

// fitQuery is a shape to check against an idle fleet.
type fitQuery struct {
	shape            fleet.Shape
	besideGuarantees bool
}

// checkFits rejects a job whose shape fits neither its guarantee nor the idle failure domain, or exceeds the quota.
func (p *Planner) checkFits(e *entry) error {
	s := e.job.Shape
	if p.isPartial || len(p.knownWorkers) == 0 || p.isCovered(e) {
		return nil
	}
	if q := p.quota(e); q > 0 && s.TotalAccelerators() > q {
		n := s
		n.Tasks = 0
		if s.Accelerators > 0 {
			n.Tasks = q / s.Accelerators
		}
		return ErrShapeNeverFits{Shape: s, Nearest: n, Why: fmt.Sprintf(
			"organisation %s has a quota of %d accelerators and the shape needs %d", e.job.Organisation, q, s.TotalAccelerators())}
	}
	if p.canFit(fitQuery{shape: s, besideGuarantees: !e.isPreemptible}) {
		return nil
	}
	why := "no set of workers of failure domain " + p.domain + " can hold it"
	if !e.isPreemptible && p.canFit(fitQuery{shape: s}) {
		why = "jobs of this profile cannot be preempted, and the shape would use capacity that guarantees of failure domain " + p.domain + " need"
	}
	return ErrShapeNeverFits{Shape: s, Nearest: p.nearest(s, !e.isPreemptible), Why: why}
}

func (p *Planner) isCovered(e *entry) bool {
	for _, g := range p.reservations.Gangs() {
		n := g.Need
		if n.Organisation == e.job.Organisation && n.Profile == e.job.Profile && hold.IsCover(n.Shape, e.job.Shape) {
			return true
		}
	}
	return false
}

func (p *Planner) quota(e *entry) int {
	return p.config.Organisations[e.job.Organisation].Accelerators
}

// canFit reports whether the shape fits into the idle fleet, optionally beside all guarantees; it caches the result.
func (p *Planner) canFit(q fitQuery) bool {
	if ok, has := p.fitCache[q]; has {
		return ok
	}
	ok := p.computeFit(q)
	if len(p.fitCache) < maxFitCache {
		p.fitCache[q] = ok
	}
	return ok
}

const maxFitCache = 4096

func (p *Planner) computeFit(q fitQuery) bool {
	ns := GuaranteeNeeds(p.domain, p.config.Profiles)
	if !q.besideGuarantees || len(ns) == 0 {
		return p.fitsIdle(q.shape)
	}
	ws := make([]fleet.Worker, 0, len(p.knownWorkers))
	for _, w := range p.knownWorkers {
		w.Leaving = false
		ws = append(ws, w)
	}
	if len(hold.Fits(ws, ns)) > 0 {
		// The guarantees do not fit even without the shape, so check the shape alone.
		return p.canFit(fitQuery{shape: q.shape})
	}
	return len(hold.Fits(ws, append(ns, hold.Need{Gangs: 1, Shape: q.shape, Rank: rankCount}))) == 0
}

// fitsIdle reports whether the known workers could hold a shape if all of them were idle.
func (p *Planner) fitsIdle(s fleet.Shape) bool {
	n := place.TaskResources(s)
	tasks := map[string]int{}
	for _, w := range p.knownWorkers {
		var k string
		switch s.Adjacent {
		case fleet.LevelWorker:
			k = w.Name
		case fleet.LevelRack:
			k = w.Rack
		default:
		}
		tasks[k] += place.WorkerCapacity(w).Holds(n)
		if tasks[k] >= s.Tasks {
			return true
		}
	}
	return false
}

// nearest returns a similar shape that fits: first with looser adjacency, then with fewer tasks, then with smaller
// tasks.
func (p *Planner) nearest(s fleet.Shape, hard bool) fleet.Shape {
	for _, l := range []fleet.Level{fleet.LevelRack, fleet.LevelDomain} {
		n := s
		n.Adjacent = l
		if n != s && l != s.Adjacent && s.Adjacent != fleet.LevelDomain && p.canFit(fitQuery{n, hard}) {
			return n
		}
	}
	if n := p.withFewerTasks(s, hard); n.Tasks > 0 {
		return n
	}
	n := s
	top := p.largestWorker()
	n.Accelerators = min(s.Accelerators, top.Accelerators)
	n.Processors = min(s.Processors, top.Processors)
	n.Memory = min(s.Memory, top.Memory)
	if n == s {
		return fleet.Shape{}
	}
	if p.canFit(fitQuery{n, hard}) {
		return n
	}
	return p.withFewerTasks(n, hard)
}

// withFewerTasks returns s with the largest number of tasks, below its own, that fits.
func (p *Planner) withFewerTasks(s fleet.Shape, hard bool) fleet.Shape {
	lo, hi := 0, s.Tasks
	for lo+1 < hi {
		n := s
		n.Tasks = (lo + hi) / 2
		if p.canFit(fitQuery{n, hard}) {
			lo = n.Tasks
			continue
		}
		hi = n.Tasks
	}
	s.Tasks = lo
	return s
}

// largestWorker returns the worker with the most accelerators and, among equals, the most memory.
func (p *Planner) largestWorker() fleet.Worker {
	var top fleet.Worker
	for _, w := range p.knownWorkers {
		if w.Accelerators > top.Accelerators || w.Accelerators == top.Accelerators && w.Memory > top.Memory {
			top = w
		}
	}
	return top
}

// FitsEmptyRack reports whether the workers of a service in some rack could hold the shape if they were idle; it returns true while no
// worker is known.
func (p *Planner) FitsEmptyRack(s fleet.Shape, service string) bool {
	n := place.TaskResources(s)
	for _, r := range p.ledger.Racks() {
		k := 0
		for _, x := range r.Sites {
			if isServedBy(service, x) {
				k += x.Capacity.Holds(n)
			}
		}
		if k >= s.Tasks {
			return true
		}
	}
	return p.ledger.Len() == 0
}
