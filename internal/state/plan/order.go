package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/cost"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// guaranteedRank sorts before all urgencies.
const guaranteedRank = -1

// effectiveRank returns the rank for the order of the queue. Guaranteed jobs come first and expired jobs last. Other
// jobs rise by one rank for each wait bound that has passed, but never to the urgent rank.
func (p *Planner) effectiveRank(e *entry) int {
	r := e.rank()
	if p.isGuaranteed(e) {
		return guaranteedRank
	}
	if p.timeliness(e) == expired {
		return rankCount
	}
	if r <= 1 || e.profile.WaitBound <= 0 {
		return r
	}
	return max(1, r-int(p.now.Sub(e.job.Submitted)/e.profile.WaitBound))
}

// waitRatio returns the wait relative to the wait bound of the profile, or zero if it has none.
func (p *Planner) waitRatio(e *entry) float64 {
	if e.profile.WaitBound <= 0 {
		return 0
	}
	return float64(p.now.Sub(e.job.Submitted)) / float64(e.profile.WaitBound)
}

// waitRatioOrDefault returns the wait relative to the wait bound of the profile, or to defaultWaitBound if it has
// none.
func (p *Planner) waitRatioOrDefault(e *entry) float64 {
	b := e.profile.WaitBound
	if b <= 0 {
		b = defaultWaitBound
	}
	return float64(p.now.Sub(e.job.Submitted)) / float64(b)
}

// defaultWaitBound is used to order jobs whose profile has no wait bound.
const defaultWaitBound = 4 * time.Hour

// orderTimeliness returns the timeliness by which a job is ordered. A late job whose submission is nearly done counts as on time: it is
// of use only as a whole, and little work is missing.
func (p *Planner) orderTimeliness(e *entry) timeliness {
	t := p.timeliness(e)
	x := e.submission
	if t == late && !p.disabled[DelayCost] && cost.IsNearlyDone(x.jobs, x.most) {
		return onTime
	}
	return t
}

type queuedJob struct {
	e          *entry
	rank       int
	timeliness timeliness
	waitRatio  float64
}

// order returns the selected queued jobs by effective rank, timeliness, and wait relative to the wait bound. The
// relative wait of a job is reduced as its organisation exceeds its weighted fair share.
func (p *Planner) order(isOf func(*entry) bool) []*entry {
	os := make([]queuedJob, 0, p.queuedTotal)
	for _, e := range p.jobs {
		if e.isQueued() && isOf(e) {
			os = append(os, queuedJob{e: e, rank: p.effectiveRank(e), timeliness: p.orderTimeliness(e), waitRatio: p.waitRatioOrDefault(e)})
		}
	}
	slices.SortFunc(os, func(x, y queuedJob) int {
		return cmp.Or(
			cmp.Compare(x.rank, y.rank),
			cmp.Compare(x.timeliness, y.timeliness),
			cmp.Compare(y.waitRatio, x.waitRatio),
			cmp.Compare(x.e.job.ID, y.e.job.ID),
		)
	})
	out := make([]*entry, 0, len(os))
	use := map[string]float64{}
	for o, u := range p.usage {
		use[o] = p.dominantShare(u)
	}
	for i := 0; i < len(os); {
		j := i
		for j < len(os) && os[j].rank == os[i].rank && os[j].timeliness == os[i].timeliness {
			j++
		}
		out = p.interleaveOrgs(out, os[i:j], use)
		i = j
	}
	return out
}

// orgQueue holds the jobs of one organisation that have the same rank and timeliness.
type orgQueue struct {
	org    string
	use    float64
	weight float64
	jobs   []queuedJob
}

// priority returns the relative wait of the first job, reduced while the organisation exceeds its fair share.
func (l *orgQueue) priority(weights float64) float64 {
	fair := l.weight / weights
	x := min(1, fair/max(l.use, fair))
	return (l.jobs[0].waitRatio + baseWaitRatio) * x
}

// baseWaitRatio is added to the relative wait of every job, so that fair share also orders new jobs.
const baseWaitRatio = 0.05

// interleaveOrgs appends jobs of the same rank and timeliness, each time from the organisation with the highest
// priority.
func (p *Planner) interleaveOrgs(out []*entry, os []queuedJob, use map[string]float64) []*entry {
	by := map[string]*orgQueue{}
	var ls []*orgQueue
	for _, o := range os {
		org := o.e.job.Organisation
		l := by[org]
		if l == nil {
			l = &orgQueue{org: org, use: use[org], weight: p.orgWeight(org)}
			by[org] = l
			ls = append(ls, l)
		}
		l.jobs = append(l.jobs, o)
	}
	weights := p.totalWeight(ls)
	for len(ls) > 0 {
		k := 0
		for i, l := range ls {
			if l.priority(weights) > ls[k].priority(weights) {
				k = i
			}
		}
		l := ls[k]
		e := l.jobs[0].e
		out = append(out, e)
		l.use += p.dominantShare(e.need.Times(e.shape.Tasks))
		use[l.org] = l.use
		l.jobs = l.jobs[1:]
		if len(l.jobs) == 0 {
			ls = slices.Delete(ls, k, k+1)
		}
	}
	return out
}

// totalWeight returns the sum of the weights of all organisations with running or queued jobs.
func (p *Planner) totalWeight(ls []*orgQueue) float64 {
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

// dominantShare returns the largest share that u takes of any resource of the failure domain.
func (p *Planner) dominantShare(u place.Resources) float64 {
	t := p.capacity
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

// passInterval tracks a moving average of the time between passes.
type passInterval struct {
	last    time.Time
	average time.Duration
}

func (r *passInterval) observe(now time.Time) {
	if !r.last.IsZero() {
		r.average += (now.Sub(r.last) - r.average) / 8
	}
	r.last = now
}

func (r *passInterval) mean() time.Duration {
	return r.average
}
