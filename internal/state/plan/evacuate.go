package plan

import "github.com/auburncleat/auburncleat/internal/state/place"

// SetEvacuated sets which failure domains are evacuated. Their workers get no job, and their room counts as capacity, headroom or
// idle room no more; what runs there goes on.
func (p *Planner) SetEvacuated(isEvacuated func(domain string) bool) {
	p.evacuated = isEvacuated
}

// isEvacuated reports whether the failure domain of a site is evacuated.
func (p *Planner) isEvacuated(s *place.Site) bool {
	return p.evacuated != nil && p.evacuated(s.Worker.Domain)
}
