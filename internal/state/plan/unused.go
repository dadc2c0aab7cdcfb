package plan

import "github.com/auburncleat/auburncleat/internal/state/place"

// unusedRoom is the room of a site that no started gang had when the pass began; the pass only takes from it.
type unusedRoom struct {
	site *place.Site
	room place.Resources
}

// findUnused returns the room of all workers that stay and have a slot to spare.
func (p *Planner) findUnused() []unusedRoom {
	out := []unusedRoom{}
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if !s.Worker.Leaving && !s.Stopped && s.Unused().Slots > 0 {
				out = append(out, unusedRoom{site: s, room: s.Unused()})
			}
		}
	}
	return out
}

// unused returns the room in which the pass may start work.
func (p *Planner) unused() []unusedRoom {
	if p.pass.unused == nil {
		p.pass.unused = p.findUnused()
	}
	return p.pass.unused
}

// mayFit reports whether a job has room where nothing runs, if nothing is kept there for other work. It costs far less than a
// search for the best room.
func (p *Planner) mayFit(e *entry) bool {
	tasks := 0
	us := p.unused()
	for i := range us {
		if !e.need.IsWithin(us[i].room) || !p.mayUse(e, us[i].site) {
			continue
		}
		tasks += us[i].site.Unused().Holds(e.need)
		if tasks >= e.shape.Tasks {
			return true
		}
	}
	return false
}
