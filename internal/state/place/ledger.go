package place

import (
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Site is one worker with the resources that are allocated on it.
type Site struct {
	Worker   fleet.Worker
	Capacity Resources
	// Used is allocated to gangs that were started.
	Used Resources
	// Committed is allocated to reservations, and to non-preemptible gangs that run outside of a reservation.
	Committed Resources
	// Pending is the part of Committed that a claim of a guarantee waits for.
	Pending Resources
	// PendingUnguaranteed is awaited by queued jobs outside of guarantees; claims of guarantees ignore it.
	PendingUnguaranteed Resources
	// Closed excludes the site from new placements.
	Closed bool
	// Stopped is set while the worker leaves or a planned stop is in force, but not for its health.
	Stopped bool
	// StopFrom is when a planned stop begins; zero means none.
	StopFrom time.Time
	// BackfillUntil is when a blocked gang is planned to start here; other work must end by then. Zero means none.
	BackfillUntil time.Time
	// OnProbation limits the site to one job at a time, because its worker is on probation after failures.
	OnProbation bool
	// Ramping limits a site to one job at a time because its worker joined recently, without failures; a claim of a
	// guarantee may still use the site.
	Ramping bool

	// Slowness is how much longer than a typical worker the worker takes for the same work; zero if that is not known.
	Slowness float64

	rack *Rack
	// labels are the labels of the worker.
	labels []string
	// leastUnused and formerUnused are the least unused resources of this period and of the one before.
	leastUnused  Resources
	formerUnused Resources
	// Scratch fields of a search: fit is the number of tasks for which the site has room, and taken the number of tasks
	// of the gang that a candidate placement assigns to the site.
	fit   int
	taken int
}

// HasLabel reports whether the worker has a label.
func (s *Site) HasLabel(label string) bool {
	return slices.Contains(s.labels, label)
}

// Unused returns the resources that are not allocated to a started gang.
func (s *Site) Unused() Resources {
	return s.Capacity.Minus(s.Used)
}

// ObserveUnused records the resources that are unused now, in the current period or as the first of a new one.
func (s *Site) ObserveUnused(isNewPeriod bool) {
	if isNewPeriod {
		s.formerUnused, s.leastUnused = s.leastUnused, s.Unused()
	}
	s.leastUnused = s.leastUnused.Min(s.Unused())
}

// SteadilyUnused returns the resources that have been unused for a period at least and still are.
func (s *Site) SteadilyUnused() Resources {
	return s.formerUnused.Min(s.leastUnused).Min(s.Unused())
}

// Free returns the resources that are neither allocated to a started gang nor awaited by a queued job.
func (s *Site) Free() Resources {
	return s.FreeForClaim().Minus(s.PendingUnguaranteed)
}

// FreeForClaim returns the resources that are neither allocated to a started gang nor awaited by a claim of a
// guarantee.
func (s *Site) FreeForClaim() Resources {
	return s.Unused().Minus(s.Pending)
}

// FreeUncommittedForClaim returns the resources that are free for a claim and not allocated to a reservation or to
// non-preemptible work.
func (s *Site) FreeUncommittedForClaim() Resources {
	return s.FreeForClaim().Min(s.Uncommitted())
}

// Uncommitted returns the resources that are not allocated to a reservation or to non-preemptible work.
func (s *Site) Uncommitted() Resources {
	return s.Capacity.Minus(s.Committed)
}

// FreeUncommitted returns the resources that are free now and not allocated to a reservation or to non-preemptible
// work.
func (s *Site) FreeUncommitted() Resources {
	return s.Free().Min(s.Uncommitted())
}

// Rack returns the rack of the site.
func (s *Site) Rack() *Rack {
	return s.rack
}

// Rack is a group of workers whose accelerators count as adjacent.
type Rack struct {
	Name  string
	Sites []*Site
	fit   int
}

// Ledger holds the sites of a failure domain, grouped by rack and ordered by name.
type Ledger struct {
	racks []*Rack
	sites map[string]*Site
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{sites: map[string]*Site{}}
}

// Put adds or updates a worker and reports whether anything changed.
func (l *Ledger) Put(w fleet.Worker) bool {
	s, ok := l.sites[w.Name]
	if ok && s.Worker == w {
		return false
	}
	if ok && s.Worker.Rack != w.Rack {
		l.leaveRack(s)
		ok = false
	}
	if s == nil {
		s = &Site{}
		l.sites[w.Name] = s
	}
	if s.Worker.Labels != w.Labels {
		s.labels = strings.Split(w.Labels, ",")
	}
	s.Worker = w
	s.Capacity = WorkerCapacity(w)
	if !ok {
		l.joinRack(s)
	}
	return true
}

// Drop removes a worker and returns its closed site, or nil if the worker is not known.
func (l *Ledger) Drop(name string) *Site {
	s, ok := l.sites[name]
	if !ok {
		return nil
	}
	delete(l.sites, name)
	l.leaveRack(s)
	s.Closed = true
	return s
}

// Get returns the site of a worker, or nil if the worker is not known.
func (l *Ledger) Get(name string) *Site {
	return l.sites[name]
}

// Len returns the number of sites.
func (l *Ledger) Len() int {
	return len(l.sites)
}

// Racks returns the racks ordered by name; the caller must not change the slice.
func (l *Ledger) Racks() []*Rack {
	return l.racks
}

func (l *Ledger) joinRack(s *Site) {
	i, ok := slices.BinarySearchFunc(l.racks, s.Worker.Rack, func(r *Rack, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		l.racks = slices.Insert(l.racks, i, &Rack{Name: s.Worker.Rack})
	}
	r := l.racks[i]
	j, _ := slices.BinarySearchFunc(r.Sites, s.Worker.Name, func(o *Site, n string) int { return strings.Compare(o.Worker.Name, n) })
	r.Sites = slices.Insert(r.Sites, j, s)
	s.rack = r
}

func (l *Ledger) leaveRack(s *Site) {
	r := s.rack
	if i := slices.Index(r.Sites, s); i >= 0 {
		r.Sites = slices.Delete(r.Sites, i, i+1)
	}
	if len(r.Sites) > 0 {
		return
	}
	if i := slices.Index(l.racks, r); i >= 0 {
		l.racks = slices.Delete(l.racks, i, i+1)
	}
}
