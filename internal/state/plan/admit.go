package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
)

// ErrQueueFull is returned when the queue of an organisation and urgency, or of the whole failure domain, has reached
// its limit.
var ErrQueueFull = errors.New("queue is full")

// ErrQueueRefused describes the full queue and when to retry; it matches ErrQueueFull.
type ErrQueueRefused struct {
	Organisation string
	Urgency      config.Urgency
	Queued       int
	Limit        int
	RetryAfter   time.Duration
}

// Error names the full queue, its limit and the time after which to retry.
func (e ErrQueueRefused) Error() string {
	return fmt.Sprintf("%d jobs of urgency %s of organisation %s are queued, the limit is %d; retry after %s",
		e.Queued, e.Urgency, e.Organisation, e.Limit, e.RetryAfter)
}

// Is reports whether target is ErrQueueFull.
func (e ErrQueueRefused) Is(target error) bool {
	return target == ErrQueueFull
}

// WithQueueLimits limits the queued jobs per organisation and urgency, and of the whole failure domain.
func WithQueueLimits(perQueue, total int) Option {
	return func(p *Planner) { p.limits = limits{perQueue: perQueue, total: total} }
}

const (
	rankCount         = 3
	defaultQueueLimit = 10_000
	defaultTotalLimit = 20_000
	minRetryAfter     = time.Second
	maxRetryAfter     = 10 * time.Minute
)

type limits struct {
	perQueue int
	total    int
}

func defaultLimits() limits {
	return limits{perQueue: defaultQueueLimit, total: defaultTotalLimit}
}

// queueKey identifies the queue of one organisation and urgency.
type queueKey struct {
	org  string
	rank int
}

func (e *entry) queueKey() queueKey {
	return queueKey{org: e.job.Organisation, rank: e.rank()}
}

// admit checks the queue limits, shedding a less urgent job if the failure domain's queue is full, or rejects the job.
func (p *Planner) admit(e *entry) error {
	l := e.queueKey()
	if n := p.queued[l]; n >= p.limits.perQueue {
		return p.refuse(e, n, p.limits.perQueue)
	}
	if p.queuedTotal < p.limits.total {
		return nil
	}
	if !p.shed(l.rank) {
		return p.refuse(e, p.queuedTotal, p.limits.total)
	}
	return nil
}

func (p *Planner) refuse(e *entry, n, limit int) error {
	return ErrQueueRefused{
		Organisation: e.job.Organisation, Urgency: e.profile.Urgency,
		Queued: n, Limit: limit, RetryAfter: p.retryAfter(e.rank()),
	}
}

// retryAfter estimates how long a caller should wait before a retry. It divides the queued jobs of at least this
// urgency by the slots of the failure domain, rounds down, adds one, and multiplies by the mean interval between
// passes. The interval counts as at least minRetryAfter, and the result is at most maxRetryAfter.
func (p *Planner) retryAfter(rank int) time.Duration {
	ahead := 0
	for l, n := range p.queued {
		if l.rank <= rank {
			ahead += n
		}
	}
	d := time.Duration(ahead/max(p.capacity.Slots, 1)+1) * max(p.passInterval.mean(), minRetryAfter)
	return min(max(d, minRetryAfter), maxRetryAfter).Round(time.Second)
}

// shed rejects the newest queued job that never started, from the least urgent queue that is less urgent than rank. It
// reports whether there was such a job.
func (p *Planner) shed(rank int) bool {
	for r := rankCount - 1; r > rank; r-- {
		for q := p.newestByRank[r]; len(q) > 0; {
			e := q[len(q)-1]
			q = q[:len(q)-1]
			p.newestByRank[r] = q
			if e.newestRank == r {
				e.newestRank = 0
			}
			if p.jobs[e.job.ID] != e || !e.isQueued() || e.hasRun() || e.rank() != r || e.gang != nil {
				continue
			}
			p.remove(e)
			p.refusals = append(p.refusals, Refusal{
				Job:        e.job.ID,
				Reason:     "the queue is full and more urgent work came; this was the newest of the least urgent",
				RetryAfter: p.retryAfter(r),
			})
			return true
		}
	}
	return false
}

func (p *Planner) enqueue(e *entry) {
	p.queued[e.queueKey()]++
	p.queuedTotal++
	if e.hasRun() || e.isUrgent() {
		return
	}
	if e.newestRank == e.rank() {
		return
	}
	q := p.newestByRank[e.rank()]
	if len(q) >= 2*p.limits.total {
		q = p.compact(q, e.rank())
	}
	p.newestByRank[e.rank()] = append(q, e)
	e.newestRank = e.rank()
}

// compact removes jobs that are no longer queued or are listed under another urgency.
func (p *Planner) compact(q []*entry, rank int) []*entry {
	out := q[:0]
	for _, e := range q {
		if p.jobs[e.job.ID] == e && e.isQueued() && e.newestRank == rank {
			out = append(out, e)
			continue
		}
		if e.newestRank == rank {
			e.newestRank = 0
		}
	}
	clear(q[len(out):])
	return out
}

func (p *Planner) dequeue(e *entry) {
	l := e.queueKey()
	p.queued[l]--
	if p.queued[l] <= 0 {
		delete(p.queued, l)
	}
	p.queuedTotal--
}
