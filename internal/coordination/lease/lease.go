package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
)

const (
	tickEvery   = 50 * time.Millisecond
	shareEvery  = 500 * time.Millisecond
	minInterval = time.Second
	maxInterval = 5 * time.Minute
	// firstWithin is how soon every worker of a new share is renewed.
	firstWithin = 5 * time.Second
	// intervalsPerLease lets two renewals fail before a lease lapses.
	intervalsPerLease = 3
	maxConcurrent     = 16
	// sizeWeight is the weight of the newest size in the mean.
	sizeWeight = 1.0 / 64
)

// Leases renews the leases of this host's share of the workers.
type Leases struct {
	host      string
	hosts     func() []string
	workers   port.Workers
	find      func() []fleet.Worker
	term      func() (fleet.Term, bool)
	clock     clock.Clock
	ring      *events.Ring
	scope     tally.Scope
	least     time.Duration
	budget    int
	size      func(fleet.Report) int
	onReport  func(fleet.Report)
	onLost    func(string, error)
	onFenced  func(fleet.Term)
	onChanged func(string)
	// renewsAlways renews also when the owner is not known to live; only tests set it.
	renewsAlways bool
	// tellsOnce names a lost worker only once; only tests set it.
	tellsOnce bool
	// ignoresBudget renews every worker each second; only tests set it.
	ignoresBudget bool

	tasks sync.WaitGroup
	room  chan struct{}

	mu       sync.Mutex
	share    map[string]*entry
	meanSize float64
	shared   time.Time
}

// entry is one worker of the share.
type entry struct {
	worker   fleet.Worker
	due      time.Time
	failures int
	isLost   bool
	isBusy   bool
	// isAgain is set when the worker was suspected while a renewal was under way, which may have read it before.
	isAgain bool
	// sum identifies the tasks of the last report.
	sum uint64
	// isGuest is set while another host's worker is only to be asked once, because it is suspected.
	isGuest bool
}

// New returns leases that have renewed nothing yet.
func New(opts ...Option) *Leases {
	l := &Leases{
		hosts:     func() []string { return nil },
		find:      func() []fleet.Worker { return nil },
		term:      func() (fleet.Term, bool) { return fleet.Term{}, false },
		clock:     clock.System(),
		scope:     tally.NoopScope,
		least:     defaultDuration,
		budget:    defaultBudget,
		size:      func(fleet.Report) int { return defaultSize },
		onReport:  func(fleet.Report) {},
		onLost:    func(string, error) {},
		onFenced:  func(fleet.Term) {},
		onChanged: func(string) {},
		room:      make(chan struct{}, maxConcurrent),
		share:     make(map[string]*entry),
		meanSize:  defaultSize,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run renews leases until ctx ends.
func (l *Leases) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.updateShare()
		l.renewDue(ctx)
		_ = l.clock.Sleep(ctx, tickEvery)
	}
	l.tasks.Wait()
	return fmt.Errorf("run leases: %w", ctx.Err())
}

// Interval returns the time between two renewals of a worker, from the size of the share and the budget.
func (l *Leases) Interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interval()
}

func (l *Leases) interval() time.Duration {
	if l.ignoresBudget {
		return minInterval
	}
	seconds := float64(len(l.share)) * l.meanSize / float64(l.budget)
	d := time.Duration(seconds * float64(time.Second))
	return min(max(d, minInterval), maxInterval)
}

// Duration returns the duration of the leases that this host grants now.
func (l *Leases) Duration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duration()
}

func (l *Leases) duration() time.Duration {
	return max(l.least, intervalsPerLease*l.interval())
}

// Workers returns the names of the workers in this host's share, in order.
func (l *Leases) Workers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ns []string
	for n := range l.share {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Suspect lets a worker be asked at once, whoever renews it, because a call to it has failed.
func (l *Leases) Suspect(worker string) {
	ws := l.find()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.share[worker]
	if e == nil {
		i := slices.IndexFunc(ws, func(w fleet.Worker) bool { return w.Name == worker })
		if i < 0 {
			return
		}
		e = &entry{worker: ws[i], isGuest: true}
		l.share[worker] = e
	}
	if !e.isLost && e.failures == 0 {
		e.due = l.clock.Now()
		e.isAgain = e.isBusy
	}
}

// updateShare takes on and gives up workers as hosts and workers come and go.
func (l *Leases) updateShare() {
	now := l.clock.Now()
	if now.Sub(l.shared) < shareEvery {
		return
	}
	l.shared = now
	hosts, workers := l.hosts(), l.find()
	l.mu.Lock()
	defer l.mu.Unlock()
	over := l.interval() / 2
	if len(l.share) == 0 {
		over = min(firstWithin, l.interval())
	}
	listed := make(map[string]bool)
	var fresh []*entry
	for _, w := range workers {
		isMine := HolderOf(w.Name, hosts) == l.host
		e := l.share[w.Name]
		switch {
		case e != nil:
			e.worker = w
			listed[w.Name] = isMine || e.isGuest
		case isMine:
			e = &entry{worker: w}
			l.share[w.Name] = e
			listed[w.Name] = true
			fresh = append(fresh, e)
		}
	}
	for n, e := range l.share {
		if !listed[n] && !e.isBusy {
			delete(l.share, n)
		}
	}
	spread(fresh, now, over)
	l.scope.Gauge("workers").Update(float64(len(l.share)))
}

// spread sets the first renewals evenly over a time.
func spread(es []*entry, now time.Time, over time.Duration) {
	slices.SortFunc(es, func(a, b *entry) int {
		return int(xxhash.Sum64String(a.worker.Name)>>1) - int(xxhash.Sum64String(b.worker.Name)>>1)
	})
	for i, e := range es {
		e.due = now.Add(over * time.Duration(i) / time.Duration(len(es)))
	}
}

// HolderOf returns the host that renews a worker, by rendezvous hashing, so that few workers move with a host.
func HolderOf(worker string, hosts []string) string {
	var best string
	var weight uint64
	for _, h := range hosts {
		if w := xxhash.Sum64String(worker + "/" + h); best == "" || w > weight {
			best, weight = h, w
		}
	}
	return best
}
