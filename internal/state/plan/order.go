package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// guaranteedRank goes before all urgencies.
const guaranteedRank = -1

// effectiveRank puts guaranteed work first, and lets work that waits past its bound rise by one rank per bound, but never into the urgent rank.
func (p *Planner) effectiveRank(e *entry) int {
	r := e.rank()
	if p.isGuaranteed(e) {
		return guaranteedRank
	}
	if p.promise(e) == useless {
		return ranks
	}
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

// late returns the wait in bounds of the profile, where no bound counts as a long one.
func (p *Planner) late(e *entry) float64 {
	b := e.profile.WaitBound
	if b <= 0 {
		b = defaultWaitBound
	}
	return float64(p.now.Sub(e.job.Submitted)) / float64(b)
}

// defaultWaitBound orders the work of profiles without a bound.
const defaultWaitBound = 4 * time.Hour

type ordered struct {
	e       *entry
	rank    int
	promise promise
	late    float64
}

// order returns the queued jobs that are of interest by urgency, then by wait against the bound of the profile, where the waits of an
// organisation count less the more it has over its weighted fair share.
func (p *Planner) order(isOf func(*entry) bool) []*entry {
	os := make([]ordered, 0, p.waiting)
	for _, e := range p.jobs {
		if e.isQueued() && isOf(e) {
			os = append(os, ordered{e: e, rank: p.effectiveRank(e), promise: p.promise(e), late: p.late(e)})
		}
	}
	slices.SortFunc(os, func(x, y ordered) int {
		return cmp.Or(
			cmp.Compare(x.rank, y.rank),
			cmp.Compare(x.promise, y.promise),
			cmp.Compare(y.late, x.late),
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
		for j < len(os) && os[j].rank == os[i].rank && os[j].promise == os[i].promise {
			j++
		}
		out = p.interleave(out, os[i:j], use)
		i = j
	}
	return out
}

// line is the queue of one organisation within one urgency.
type line struct {
	org    string
	use    float64
	weight float64
	jobs   []ordered
}

// key is the wait of the first job against its bound, lowered while the organisation has more than its fair share.
func (l *line) key(weights float64) float64 {
	fair := l.weight / weights
	x := min(1, fair/max(l.use, fair))
	return (l.jobs[0].late + newcomer) * x
}

// newcomer is the wait, in bounds, that every job starts with, so that fair share orders also new ones.
const newcomer = 0.05

// interleave appends the jobs of one rank, one organisation's turn after the other.
func (p *Planner) interleave(out []*entry, os []ordered, use map[string]float64) []*entry {
	by := map[string]*line{}
	var ls []*line
	for _, o := range os {
		org := o.e.job.Organisation
		l := by[org]
		if l == nil {
			l = &line{org: org, use: use[org], weight: p.orgWeight(org)}
			by[org] = l
			ls = append(ls, l)
		}
		l.jobs = append(l.jobs, o)
	}
	weights := p.sharedWeights(ls)
	for len(ls) > 0 {
		k := 0
		for i, l := range ls {
			if l.key(weights) > ls[k].key(weights) {
				k = i
			}
		}
		l := ls[k]
		e := l.jobs[0].e
		out = append(out, e)
		l.use += p.share(e.need.Times(e.shape.Tasks))
		use[l.org] = l.use
		l.jobs = l.jobs[1:]
		if len(l.jobs) == 0 {
			ls = slices.Delete(ls, k, k+1)
		}
	}
	return out
}

// sharedWeights adds up the weights of all organisations that run or wait.
func (p *Planner) sharedWeights(ls []*line) float64 {
	x := 0.0
	for o := range p.usage {
		x += p.orgWeight(o)
	}
	for _, l := range ls {
		if _, ok := p.usage[l.org]; !ok {
			x += l.weight
		}
	}
	return x
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
