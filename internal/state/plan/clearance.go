package plan

import (
	"cmp"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// scope is a site with the most tasks that may be placed there once borrowers have left.
type scope struct {
	site  *place.Site
	tasks int
}

func addScope(in []scope, s *place.Site, n int) []scope {
	for i := range in {
		if in[i].site == s {
			in[i].tasks += n
			return in
		}
	}
	return append(in, scope{s, n})
}

// candidate is a site under consideration, with its room as borrowers leave.
type candidate struct {
	scope
	room place.Room
	// held is how many tasks the room holds.
	held int
}

// holds returns how many tasks of a size may be placed on the site.
func (y *candidate) holds(n place.Room) int {
	return min(y.tasks, y.room.Holds(n))
}

// clearance follows which sites hold the tasks of a job as borrowers leave; its cost for each borrower does not grow
// with the number of sites.
type clearance struct {
	job   *entry
	sites []candidate
	at    map[*place.Site]*candidate
	// borrowers may be stopped; each stands there once.
	borrowers []*entry
	// held is how many tasks all sites hold.
	held int
}

// newClearance returns the sites with their room once those that are being stopped have left, and the borrowers that
// may be stopped besides.
func (p *Planner) newClearance(in []scope, e *entry, free place.View, may func(*entry) bool) *clearance {
	c := &clearance{job: e, sites: make([]candidate, len(in)), at: make(map[*place.Site]*candidate, len(in))}
	seen := map[*entry]bool{}
	for i, x := range in {
		y := &c.sites[i]
		y.scope, y.room = x, free(x.site)
		c.at[x.site] = y
		for _, b := range p.on[x.site] {
			if !b.soft || b.gang != nil {
				continue
			}
			if b.state == StateStopping || b.doomed != "" {
				y.room = y.room.Plus(b.roomOn(x.site))
				continue
			}
			if !seen[b] && may(b) {
				seen[b] = true
				c.borrowers = append(c.borrowers, b)
			}
		}
		y.held = y.holds(e.need)
		c.held += y.held
	}
	return c
}

// isEnough reports whether the sites hold the whole job.
func (c *clearance) isEnough() bool {
	return c.held >= c.job.shape.Tasks
}

// shift adds (1) or takes back (-1) the room that a borrower would free.
func (c *clearance) shift(b *entry, sign int) {
	n := b.need.Times(sign)
	for _, s := range b.sites {
		y := c.at[s]
		if y == nil {
			continue
		}
		y.room = y.room.Plus(n)
		held := y.holds(c.job.need)
		c.held += held - y.held
		y.held = held
	}
}

// weighed is a borrower with what its stop would lose.
type weighed struct {
	e    *entry
	loss float64
}

func (w weighed) compare(o weighed) int {
	return cmp.Or(cmp.Compare(w.loss, o.loss), cmp.Compare(w.e.job.ID, o.e.job.ID))
}
