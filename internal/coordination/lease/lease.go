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
	tickInterval        = 50 * time.Millisecond
	shareUpdateInterval = 500 * time.Millisecond
	minRenewInterval    = time.Second
	maxRenewInterval    = 5 * time.Minute
	// maxFirstRenewalDelay is the time within which every worker of a new share is renewed. It also limits the retry delay of
	// lost workers.
	maxFirstRenewalDelay = 5 * time.Second
	// intervalsPerLease allows two renewals to fail before a lease expires.
	intervalsPerLease     = 3
	maxConcurrentRenewals = 16
	// reportSizeSmoothing is the weight of the newest report in the moving average of report sizes.
	reportSizeSmoothing = 1.0 / 64
)

// Leases renews the leases of the workers that are assigned to this host.
type Leases struct {
	host        string
	hosts       func() []string
	workers     port.Workers
	findWorkers func() []fleet.Worker
	term        func() (fleet.Term, bool)
	clock       clock.Clock
	ring        *events.Ring
	scope       tally.Scope
	minDuration time.Duration
	// budget is the number of bytes per second that renewals may use.
	budget     int
	reportSize func(fleet.Report) int
	onReport   func(fleet.Report)
	onLost     func(string, error)
	onFenced   func(fleet.Term)
	onChanged  func(string)
	// renewsWithoutOwner also renews when the owner is not known to be alive; only tests set it.
	renewsWithoutOwner bool
	// reportsLossOnce calls onChanged for a lost worker only once; only tests set it.
	reportsLossOnce bool
	// ignoresBudget renews every worker at minRenewInterval; only tests set it.
	ignoresBudget bool

	renewals sync.WaitGroup
	// room limits the number of concurrent renewals.
	room chan struct{}

	mu sync.Mutex
	// share holds the workers that this host renews, by name.
	share          map[string]*entry
	meanReportSize float64
	shareUpdated   time.Time
}

// entry is the renewal state of one worker.
type entry struct {
	worker     fleet.Worker
	due        time.Time
	failures   int
	isLost     bool
	isRenewing bool
	// isRenewalQueued is set when the worker was suspected during a renewal. That renewal may have reached the worker before
	// the failure that led to the suspicion, so another one follows it.
	isRenewalQueued bool
	// tasksHash is the hash of the tasks in the last report.
	tasksHash uint64
	// isForeign is set for a suspect worker of another host, which stays in the share until a renewal of it succeeds.
	isForeign bool
}

// New returns Leases with an empty share.
func New(opts ...Option) *Leases {
	l := &Leases{
		hosts:          func() []string { return nil },
		findWorkers:    func() []fleet.Worker { return nil },
		term:           func() (fleet.Term, bool) { return fleet.Term{}, false },
		clock:          clock.System(),
		scope:          tally.NoopScope,
		minDuration:    defaultDuration,
		budget:         defaultBudget,
		reportSize:     func(fleet.Report) int { return defaultReportSize },
		onReport:       func(fleet.Report) {},
		onLost:         func(string, error) {},
		onFenced:       func(fleet.Term) {},
		onChanged:      func(string) {},
		room:           make(chan struct{}, maxConcurrentRenewals),
		share:          make(map[string]*entry),
		meanReportSize: defaultReportSize,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run renews leases until ctx ends, and returns when all renewals in flight have ended.
func (l *Leases) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.updateShare()
		l.renewDue(ctx)
		_ = l.clock.Sleep(ctx, tickInterval)
	}
	l.renewals.Wait()
	return fmt.Errorf("run leases: %w", ctx.Err())
}

// Interval returns the current renewal interval of a worker, which follows from the size of the share and the budget.
func (l *Leases) Interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interval()
}

func (l *Leases) interval() time.Duration {
	if l.ignoresBudget {
		return minRenewInterval
	}
	seconds := float64(len(l.share)) * l.meanReportSize / float64(l.budget)
	d := time.Duration(seconds * float64(time.Second))
	return min(max(d, minRenewInterval), maxRenewInterval)
}

// Duration returns the current duration of the leases that this host renews.
func (l *Leases) Duration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duration()
}

func (l *Leases) duration() time.Duration {
	return max(l.minDuration, intervalsPerLease*l.interval())
}

// Workers returns the sorted names of the workers that this host renews.
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

// Suspect schedules an immediate renewal of a worker to which a call has failed, also if another host renews its lease.
func (l *Leases) Suspect(worker string) {
	ws := l.findWorkers()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.share[worker]
	if e == nil {
		i := slices.IndexFunc(ws, func(w fleet.Worker) bool { return w.Name == worker })
		if i < 0 {
			return
		}
		e = &entry{worker: ws[i], isForeign: true}
		l.share[worker] = e
	}
	if !e.isLost && e.failures == 0 {
		e.due = l.clock.Now()
		e.isRenewalQueued = e.isRenewing
	}
}

// updateShare adds and removes workers according to the current hosts and workers, at most every shareUpdateInterval.
func (l *Leases) updateShare() {
	now := l.clock.Now()
	if now.Sub(l.shareUpdated) < shareUpdateInterval {
		return
	}
	l.shareUpdated = now
	hosts, workers := l.hosts(), l.findWorkers()
	l.mu.Lock()
	defer l.mu.Unlock()
	spreadOver := l.interval() / 2
	if len(l.share) == 0 {
		spreadOver = min(maxFirstRenewalDelay, l.interval())
	}
	listed := make(map[string]bool)
	var added []*entry
	for _, w := range workers {
		isMine := RenewingHost(w.Name, hosts) == l.host
		e := l.share[w.Name]
		switch {
		case e != nil:
			e.worker = w
			listed[w.Name] = isMine || e.isForeign
		case isMine:
			e = &entry{worker: w}
			l.share[w.Name] = e
			listed[w.Name] = true
			added = append(added, e)
		}
	}
	for n, e := range l.share {
		if !listed[n] && !e.isRenewing {
			delete(l.share, n)
		}
	}
	spreadFirstRenewals(added, now, spreadOver)
	l.scope.Gauge("workers").Update(float64(len(l.share)))
}

// spreadFirstRenewals distributes the first renewals of new workers evenly over a period.
func spreadFirstRenewals(es []*entry, now time.Time, over time.Duration) {
	slices.SortFunc(es, func(a, b *entry) int {
		return int(xxhash.Sum64String(a.worker.Name)>>1) - int(xxhash.Sum64String(b.worker.Name)>>1)
	})
	for i, e := range es {
		e.due = now.Add(over * time.Duration(i) / time.Duration(len(es)))
	}
}

// RenewingHost returns the host that renews a worker. It uses rendezvous hashing, so that a change of hosts reassigns few
// workers.
func RenewingHost(worker string, hosts []string) string {
	var renewer string
	var maxWeight uint64
	for _, h := range hosts {
		if weight := xxhash.Sum64String(worker + "/" + h); renewer == "" || weight > maxWeight {
			renewer, maxWeight = h, weight
		}
	}
	return renewer
}
