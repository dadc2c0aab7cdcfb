package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// effectiveRank lets work that waits past its bound rise by one rank per bound, but never into the urgent rank.
func (p *Planner) effectiveRank(e *entry) int {
	r := e.rank()
	if r <= 1 || e.profile.WaitBound <= 0 {
		return r
	}
	return max(1, r-int(p.now.Sub(e.job.Submitted)/e.profile.WaitBound))
}

// overdue returns the wait over the bound of the profile; zero while there is no bound.
func (p *Planner) overdue(e *entry) float64 {
	if e.profile.WaitBound <= 0 {
		return 0
	}
	return float64(p.now.Sub(e.job.Submitted)) / float64(e.profile.WaitBound)
}

type ordered struct {
	e    *entry
	rank int
	late float64
}

// order returns the queued jobs: by urgency; then those past their bound, longest first; then by weighted fair share.
func (p *Planner) order() []*entry {
	os := make([]ordered, 0, p.waiting)
	for _, e := range p.jobs {
		if !e.isQueued() {
			continue
		}
		o := ordered{e: e, rank: p.effectiveRank(e)}
		if l := p.overdue(e); l >= 1 {
			o.late = l
		}
		os = append(os, o)
	}
	slices.SortFunc(os, func(x, y ordered) int {
		return cmp.Or(
			cmp.Compare(x.rank, y.rank),
			cmp.Compare(y.late, x.late),
			x.e.job.Submitted.Compare(y.e.job.Submitted),
			cmp.Compare(x.e.job.ID, y.e.job.ID),
		)
	})
	out := make([]*entry, 0, len(os))
	use := map[string]float64{}
	for o, u := range p.usage {
		use[o] = p.share(u)
	}
	for i := 0; i < len(os); {
		j := i
		for j < len(os) && os[j].rank == os[i].rank {
			j++
		}
		out = p.interleave(out, os[i:j], use)
		i = j
	}
	return out
}

// interleave appends one rank: the late ones as they are, the others by the least share of their organisation so far.
func (p *Planner) interleave(out []*entry, os []ordered, use map[string]float64) []*entry {
	lines := map[string][]*entry{}
	var orgs []string
	for _, o := range os {
		if o.late > 0 {
			out = append(out, o.e)
			use[o.e.job.Organisation] += p.share(o.e.need.Times(o.e.job.Shape.Tasks))
			continue
		}
		org := o.e.job.Organisation
		if _, ok := lines[org]; !ok {
			orgs = append(orgs, org)
		}
		lines[org] = append(lines[org], o.e)
	}
	slices.Sort(orgs)
	for len(orgs) > 0 {
		k := 0
		for i := range orgs {
			if use[orgs[i]]/p.orgWeight(orgs[i]) < use[orgs[k]]/p.orgWeight(orgs[k]) {
				k = i
			}
		}
		o := orgs[k]
		e := lines[o][0]
		lines[o] = lines[o][1:]
		if len(lines[o]) == 0 {
			orgs = slices.Delete(orgs, k, k+1)
		}
		use[o] += p.share(e.need.Times(e.job.Shape.Tasks))
		out = append(out, e)
	}
	return out
}

// share returns the largest part of any resource of the failure domain that u takes.
func (p *Planner) share(u place.Room) float64 {
	t := p.total
	return max(
		float64(u.Slots)/float64(max(t.Slots, 1)),
		float64(u.Accelerators)/float64(max(t.Accelerators, 1)),
		float64(u.Processors)/float64(max(t.Processors, 1)),
		float64(u.Memory)/float64(max(t.Memory, 1)),
	)
}

func (p *Planner) orgWeight(name string) float64 {
	return float64(max(p.config.Organisations[name].Weight, 1))
}

// rounds keeps the usual time between two passes.
type rounds struct {
	last  time.Time
	usual time.Duration
}

func (r *rounds) note(now time.Time) {
	if !r.last.IsZero() {
		r.usual += (now.Sub(r.last) - r.usual) / 8
	}
	r.last = now
}

func (r *rounds) mean() time.Duration {
	return r.usual
}
