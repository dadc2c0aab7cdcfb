package place

import (
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Site is one worker with what is booked on it.
type Site struct {
	Worker   fleet.Worker
	Capacity Room
	// Used is taken by gangs that were started.
	Used Room
	// Hard is taken by reservations and by gangs outside of them that cannot be stopped.
	Hard Room
	// Pending is the part of Hard that a claim waits to use.
	Pending Room
	// Wanted waits for work outside of guarantees; claims do not see it.
	Wanted Room
	// Closed sites take no new work.
	Closed bool
	// StopFrom is when a planned stop begins; zero means none.
	StopFrom time.Time
	// HeldFrom is when a blocked gang is planned to start here; zero means none.
	HeldFrom time.Time
	// Probe limits a site to one job at a time, to test it.
	Probe bool
	// Joined does the same to a site without failures that joined lately; guarantees may use it if they need it.
	Joined bool

	rack *Rack
	n    int
	take int
}

// Free returns what no started gang takes and nothing waits for.
func (s *Site) Free() Room {
	return s.FreeForClaim().Minus(s.Wanted)
}

// FreeForClaim returns what no started gang and no other claim takes.
func (s *Site) FreeForClaim() Room {
	return s.Capacity.Minus(s.Used).Minus(s.Pending)
}

// FreeBothForClaim returns what is free for a claim and not reserved.
func (s *Site) FreeBothForClaim() Room {
	return s.FreeForClaim().Least(s.FreeHard())
}

// FreeHard returns what neither a reservation nor unstoppable work takes.
func (s *Site) FreeHard() Room {
	return s.Capacity.Minus(s.Hard)
}

// FreeBoth returns what is free now and not reserved.
func (s *Site) FreeBoth() Room {
	return s.Free().Least(s.FreeHard())
}

// Rack returns the rack of the site.
func (s *Site) Rack() *Rack {
	return s.rack
}

// Rack is a group of adjacent workers.
type Rack struct {
	Name  string
	Sites []*Site
	sum   int
}

// Books hold the sites of a failure domain by rack, in the order of their names.
type Books struct {
	racks []*Rack
	sites map[string]*Site
}

// New returns empty books.
func New() *Books {
	return &Books{sites: map[string]*Site{}}
}

// Put adds a worker or updates its capacity, and reports whether anything changed.
func (b *Books) Put(w fleet.Worker) bool {
	s, ok := b.sites[w.Name]
	if ok && s.Worker == w {
		return false
	}
	if ok && s.Worker.Rack != w.Rack {
		b.leaveRack(s)
		ok = false
	}
	if s == nil {
		s = &Site{}
		b.sites[w.Name] = s
	}
	s.Worker = w
	s.Capacity = WorkerRoom(w)
	if !ok {
		b.joinRack(s)
	}
	return true
}

// Drop removes a worker and returns its site, or nil.
func (b *Books) Drop(name string) *Site {
	s, ok := b.sites[name]
	if !ok {
		return nil
	}
	delete(b.sites, name)
	b.leaveRack(s)
	s.Closed = true
	return s
}

// Get returns the site of a worker, or nil.
func (b *Books) Get(name string) *Site {
	return b.sites[name]
}

// Len returns the number of sites.
func (b *Books) Len() int {
	return len(b.sites)
}

// Racks returns the racks in the order of their names; the caller must not change them.
func (b *Books) Racks() []*Rack {
	return b.racks
}

func (b *Books) joinRack(s *Site) {
	i, ok := slices.BinarySearchFunc(b.racks, s.Worker.Rack, func(r *Rack, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		b.racks = slices.Insert(b.racks, i, &Rack{Name: s.Worker.Rack})
	}
	r := b.racks[i]
	j, _ := slices.BinarySearchFunc(r.Sites, s.Worker.Name, func(o *Site, n string) int { return strings.Compare(o.Worker.Name, n) })
	r.Sites = slices.Insert(r.Sites, j, s)
	s.rack = r
}

func (b *Books) leaveRack(s *Site) {
	r := s.rack
	if i := slices.Index(r.Sites, s); i >= 0 {
		r.Sites = slices.Delete(r.Sites, i, i+1)
	}
	if len(r.Sites) > 0 {
		return
	}
	if i := slices.Index(b.racks, r); i >= 0 {
		b.racks = slices.Delete(b.racks, i, i+1)
	}
}
