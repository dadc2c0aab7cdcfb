package plan

import (
	"cmp"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// siteLimit is a site and the maximum number of the job's tasks to place there.
type siteLimit struct {
	site  *place.Site
	tasks int
}

func addSiteLimit(in []siteLimit, s *place.Site, n int) []siteLimit {
	for i := range in {
		if in[i].site == s {
			in[i].tasks += n
			return in
		}
	}
	return append(in, siteLimit{s, n})
}

// candidateSite is a site with the room that it has after the stops selected so far.
type candidateSite struct {
	siteLimit
	room place.Resources
	// heldTasks is the number of tasks that fit into the room.
	heldTasks int
}

// holds returns how many tasks that need n fit on the site, within its limit.
func (y *candidateSite) holds(n place.Resources) int {
	return min(y.tasks, y.room.Holds(n))
}

// preemptionSearch tracks how many tasks of a job its candidate sites hold as borrowers are stopped. An update touches
// only the sites of the borrower, so its cost does not depend on the number of candidate sites.
type preemptionSearch struct {
	job    *entry
	sites  []candidateSite
	bySite map[*place.Site]*candidateSite
	// borrowers may be stopped; each is listed once.
	borrowers []*entry
	// heldTasks is the sum of the heldTasks of all candidate sites.
	heldTasks int
}

// newPreemptionSearch counts the room of borrowers that are already being stopped as free, and collects the other
// borrowers that may be stopped.
func (p *Planner) newPreemptionSearch(in []siteLimit, e *entry, free place.View, mayStop func(*entry) bool) *preemptionSearch {
	c := &preemptionSearch{job: e, sites: make([]candidateSite, len(in)), bySite: make(map[*place.Site]*candidateSite, len(in))}
	seen := map[*entry]bool{}
	for i, x := range in {
		y := &c.sites[i]
		y.siteLimit, y.room = x, free(x.site)
		c.bySite[x.site] = y
		for _, b := range p.gangsOn[x.site] {
			if !b.isPreemptible || b.gang != nil {
				continue
			}
			if b.state == StateStopping || b.stopReason != "" {
				y.room = y.room.Plus(b.roomOn(x.site))
				continue
			}
			if !seen[b] && mayStop(b) {
				seen[b] = true
				c.borrowers = append(c.borrowers, b)
			}
		}
		y.heldTasks = y.holds(e.need)
		c.heldTasks += y.heldTasks
	}
	return c
}

// isEnough reports whether the sites hold all tasks of the job.
func (c *preemptionSearch) isEnough() bool {
	return c.heldTasks >= c.job.shape.Tasks
}

// applyStop adds (sign 1) or takes back (sign -1) the room that stopping a borrower frees.
func (c *preemptionSearch) applyStop(b *entry, sign int) {
	n := b.need.Times(sign)
	for _, s := range b.sites {
		y := c.bySite[s]
		if y == nil {
			continue
		}
		y.room = y.room.Plus(n)
		held := y.holds(c.job.need)
		c.heldTasks += held - y.heldTasks
		y.heldTasks = held
	}
}

// borrowerLoss is a borrower and the cost of stopping it.
type borrowerLoss struct {
	e    *entry
	loss float64
}

func (w borrowerLoss) compare(o borrowerLoss) int {
	return cmp.Or(cmp.Compare(w.loss, o.loss), cmp.Compare(w.e.job.ID, o.e.job.ID))
}
