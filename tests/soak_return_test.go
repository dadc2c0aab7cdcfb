package tests

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/exec"
)

const (
	domainReturns       = "domain returns"
	domainReturnsKilled = "domain returns, owner killed"
)

const (
	// soakReturnGap is the time between two returns of a failure domain.
	soakReturnGap = 13 * time.Second
	// soakDarkTime is the time between two lifetimes of a worker, in which calls to it are not answered.
	soakDarkTime = 600 * time.Millisecond
	// soakOrderTime bounds the time from the sending of an order to its execution by the next lifetime of a worker.
	soakOrderTime = 4 * time.Second
	// soakCutTime is how long returned workers are cut off: for longer than their leases may outlast those that an owner grants.
	soakCutTime = soakLongHold - exec.MaxLease + 6*time.Second
	// soakLongWork is the mean time of the runs of one in soakLongOneIn jobs, which have one step of independent tasks.
	soakLongWork  = 12 * time.Second
	soakLongOneIn = 10
	// soakKeptShare is the share of the other jobs that are kept, so that the load is that of the mixed plan.
	soakKeptShare = 0.4
)

// newReturnPlan draws a mixed load with some long jobs, and beside the faults of the mixed plan failure domains whose workers are back under their
// names, execute orders to their former lifetimes, and are cut off soon after.
func newReturnPlan(seed uint64, hosts, workers int, length time.Duration) *soakPlan {
	p := newMixedPlan(seed, hosts, workers, length)
	p.maxHold, p.hasLifetimes = soakLongHold, true
	r := rand.New(rand.NewPCG(seed, 4))
	p.jobs = slices.DeleteFunc(p.jobs, func(j *soakJob) bool {
		if x := &j.steps[0]; r.IntN(soakLongOneIn) == 0 && !x.Lasts {
			j.work, j.steps = soakLongWork, j.steps[:1]
			x.Gang, x.Local = false, false
			return false
		}
		return r.Float64() > soakKeptShare
	})
	for at := time.Duration(0); at < length; at += soakReturnGap {
		p.faults = append(p.faults, soakFault{
			startAt: at + 4*time.Second + time.Duration(r.Int64N(int64(2*time.Second))), duration: soakCutTime,
			kind: []string{domainReturns, domainReturnsKilled}[r.IntN(2)], host: -1, worker: r.IntN(workers), magnitude: r.IntN(1000),
		})
	}
	return p
}

// returnDomain ends the workers of a failure domain and starts them again, and cuts them off from all hosts. They execute the orders that were sent
// to their former lifetimes, at once or later. The owner is killed before the cut if that is asked for.
func (s *soakSite) returnDomain(f soakFault, domain string, isOwnerKilled bool) {
	ws := s.findWorkers(func(w *soakWorker) bool { return w.worker.Domain == domain && s.claim(w.worker.Name) })
	r := rand.New(rand.NewPCG(s.plan.seed, uint64(f.magnitude)))
	for _, w := range ws {
		w.isDown.Store(true)
		s.runners.Remove(w.worker.Addr)
		defer s.busy.Delete(w.worker.Name)
	}
	s.sleep(soakDarkTime)
	for _, w := range ws {
		s.runners.Restart(w.worker, func(age time.Duration) (time.Duration, bool) {
			delay := max(time.Duration(r.Int64N(int64(2*soakOrderTime)))-soakOrderTime, 0)
			return delay, age+delay <= soakOrderTime
		})
		w.relay.closeLinks()
		w.isDown.Store(false)
	}
	s.sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
	var g sync.WaitGroup
	if isOwnerKilled {
		h := s.owner()
		g.Go(func() { s.withHost(h, func() { s.restartKilled(h, time.Second) }) })
	}
	s.sleep(time.Duration(r.Int64N(int64(time.Second))))
	for _, w := range ws {
		w.relay.block(true, true)
	}
	s.sleep(f.duration)
	for _, w := range ws {
		w.relay.unblock()
	}
	g.Wait()
}
