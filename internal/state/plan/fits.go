package plan

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/pkg/errors"
)

// ErrNeverFits says that no worker set of the failure domain can hold a shape.
var ErrNeverFits = errors.New("shape can never be placed")

// ErrShapeNeverFits carries a shape that can never be placed and the nearest that would do; it matches ErrNeverFits.
type ErrShapeNeverFits struct {
	Shape fleet.Shape
	// Nearest has no tasks when nothing would do.
	Nearest fleet.Shape
	Why     string
}

// Error says what does not fit and what would.
func (e ErrShapeNeverFits) Error() string {
	if e.Nearest.Tasks == 0 {
		return fmt.Sprintf("shape %s can never be placed: %s", e.Shape, e.Why)
	}
	n := e.Nearest
	return fmt.Sprintf("shape %s can never be placed: %s; the nearest that would do is %s with %d processors and %d MB a task",
		e.Shape, e.Why, n, n.Processors, n.Memory/fleet.Megabyte)
}

// Is matches ErrNeverFits.
func (e ErrShapeNeverFits) Is(target error) bool {
	return target == ErrNeverFits
}

// FitsGuarantees returns the guarantees of the profiles that do not fit into the workers together, by failure domain
// in the order of its name; none means that all can be kept.
func FitsGuarantees(workers []fleet.Worker, profiles map[string]config.Profile) []hold.Unfit {
	by := map[string][]fleet.Worker{}
	for _, w := range workers {
		by[w.Domain] = append(by[w.Domain], w)
	}
	for _, x := range profiles {
		for _, g := range x.Guarantees {
			by[g.Domain] = append(by[g.Domain], nil...)
		}
	}
	return hold.FitsAll(by, func(domain string) []hold.Need { return Needs(domain, profiles) })
}

// question asks whether a shape could ever be placed.
type question struct {
	shape fleet.Shape
	hard  bool
}

// checkFits refuses a job that neither its guarantee nor the failure domain could ever hold.
func (p *Planner) checkFits(e *entry) error {
	s := e.job.Shape
	if p.isPartial || len(p.fleet) == 0 || p.isCovered(e) {
		return nil
	}
	if q := p.quota(e); q > 0 && s.TotalAccelerators() > q {
		n := s
		n.Tasks = 0
		if s.Accelerators > 0 {
			n.Tasks = q / s.Accelerators
		}
		return ErrShapeNeverFits{Shape: s, Nearest: n, Why: fmt.Sprintf(
			"%s may use %d accelerators at a time and the shape takes %d", e.job.Organisation, q, s.TotalAccelerators())}
	}
	if p.canHold(question{shape: s, hard: !e.soft}) {
		return nil
	}
	why := "no set of workers of failure domain " + p.domain + " could hold it"
	if !e.soft && p.canHold(question{shape: s}) {
		why = "work of this profile cannot be stopped, and it would take what guarantees of failure domain " + p.domain + " need"
	}
	return ErrShapeNeverFits{Shape: s, Nearest: p.nearest(s, !e.soft), Why: why}
}

func (p *Planner) isCovered(e *entry) bool {
	for _, g := range p.keeper.Gangs() {
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

// canHold asks whether the shape fits into the whole fleet, next to all guarantees when it is hard.
func (p *Planner) canHold(q question) bool {
	if ok, has := p.fits[q]; has {
		return ok
	}
	ok := p.tryHold(q)
	if len(p.fits) < maxFits {
		p.fits[q] = ok
	}
	return ok
}

const maxFits = 4096

func (p *Planner) tryHold(q question) bool {
	ws := make([]fleet.Worker, 0, len(p.fleet))
	for _, w := range p.fleet {
		w.Leaving = false
		ws = append(ws, w)
	}
	one := hold.Need{Gangs: 1, Shape: q.shape, Rank: ranks}
	if !q.hard {
		return len(hold.Fits(ws, []hold.Need{one})) == 0
	}
	ns := Needs(p.domain, p.config.Profiles)
	if len(ns) > 0 && len(hold.Fits(ws, ns)) > 0 {
		// The guarantees do not fit by themselves, so the shape is not to blame.
		return p.canHold(question{shape: q.shape})
	}
	return len(hold.Fits(ws, append(ns, one))) == 0
}

// nearest returns the shape closest to s that would fit: looser, then with fewer tasks, then with smaller tasks.
func (p *Planner) nearest(s fleet.Shape, hard bool) fleet.Shape {
	for _, l := range []fleet.Level{fleet.LevelRack, fleet.LevelDomain} {
		n := s
		n.Adjacent = l
		if n != s && l != s.Adjacent && s.Adjacent != fleet.LevelDomain && p.canHold(question{n, hard}) {
			return n
		}
	}
	if n := p.fewer(s, hard); n.Tasks > 0 {
		return n
	}
	n := s
	top := p.largest()
	n.Accelerators = min(s.Accelerators, top.Accelerators)
	n.Processors = min(s.Processors, top.Processors)
	n.Memory = min(s.Memory, top.Memory)
	if n == s {
		return fleet.Shape{}
	}
	if p.canHold(question{n, hard}) {
		return n
	}
	return p.fewer(n, hard)
}

// fewer returns s with as many tasks as fit.
func (p *Planner) fewer(s fleet.Shape, hard bool) fleet.Shape {
	lo, hi := 0, s.Tasks
	for lo+1 < hi {
		n := s
		n.Tasks = (lo + hi) / 2
		if p.canHold(question{n, hard}) {
			lo = n.Tasks
			continue
		}
		hi = n.Tasks
	}
	s.Tasks = lo
	return s
}

// largest returns the worker with most accelerators, then most memory.
func (p *Planner) largest() fleet.Worker {
	var top fleet.Worker
	for _, w := range p.fleet {
		if w.Accelerators > top.Accelerators || w.Accelerators == top.Accelerators && w.Memory > top.Memory {
			top = w
		}
	}
	return top
}

// FitsEmptyRack reports whether some rack would hold the shape if nothing ran there; it does while no worker is known.
func (p *Planner) FitsEmptyRack(s fleet.Shape) bool {
	n := place.TaskRoom(s)
	for _, r := range p.books.Racks() {
		k := 0
		for _, x := range r.Sites {
			k += x.Capacity.Holds(n)
		}
		if k >= s.Tasks {
			return true
		}
	}
	return p.books.Len() == 0
}
