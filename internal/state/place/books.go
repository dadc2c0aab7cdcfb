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
	Capacity Room
	// Used is allocated to gangs that were started.
	Used Room
	// Hard is allocated to reservations, and to non-preemptible gangs that run outside of a reservation.
	Hard Room
	// Pending is the part of Hard that a claim of a guarantee waits for.
	Pending Room
	// Wanted is awaited by queued jobs outside of guarantees; claims of guarantees ignore it.
	Wanted Room
	// Closed excludes the site from new placements.
	Closed bool
	// StopFrom is when a planned stop begins; zero means none.
	StopFrom time.Time
	// HeldFrom is the planned start of a blocked gang here, which backfilled work must not outlast; zero means none.
	HeldFrom time.Time
	// Probe limits the site to one job at a time, because its worker is on probation after failures.
	Probe bool
	// Joined limits a site without failures in the same way because its worker joined recently; a claim of a guarantee
	// may still use it.
	Joined bool

	rack *Rack
	// Scratch fields of a search: how many tasks the site holds, and how many of the gang a candidate puts here.
	fit   int
	taken int
}

// Free returns what is neither allocated to a started gang nor awaited by a queued job.
func (s *Site) Free() Room {
	return s.FreeForClaim().Minus(s.Wanted)
}

// FreeForClaim returns what is neither allocated to a started gang nor awaited by another claim.
func (s *Site) FreeForClaim() Room {
	return s.Capacity.Minus(s.Used).Minus(s.Pending)
}

// FreeBothForClaim returns what is free for a claim and not allocated to a reservation or to non-preemptible work.
func (s *Site) FreeBothForClaim() Room {
	return s.FreeForClaim().Least(s.FreeHard())
}

// FreeHard returns what is not allocated to a reservation or to non-preemptible work.
func (s *Site) FreeHard() Room {
	return s.Capacity.Minus(s.Hard)
}

// FreeBoth returns what is free now and not allocated to a reservation or to non-preemptible work.
func (s *Site) FreeBoth() Room {
	return s.Free().Least(s.FreeHard())
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

// Books hold the sites of a failure domain, grouped by rack and ordered by name.
type Books struct {
	racks []*Rack
	sites map[string]*Site
}

// New returns empty Books.
func New() *Books {
	return &Books{sites: map[string]*Site{}}
}

// Put adds or updates a worker and reports whether anything changed.
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

// Drop removes a worker and returns its closed site, or nil if the worker is not known.
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

// Get returns the site of a worker, or nil if the worker is not known.
func (b *Books) Get(name string) *Site {
	return b.sites[name]
}

// Len returns the number of sites.
func (b *Books) Len() int {
	return len(b.sites)
}

// Racks returns the racks ordered by name; the caller must not change the slice.
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
