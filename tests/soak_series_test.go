package tests

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

// mixedFaultKinds lists the kinds of faults and changes under a mixed load.
var mixedFaultKinds = append(slices.Clone(soakFaultKinds),
	"worker lost", "worker lost", "worker away", "worker away", "worker drains", "worker drains", "rack restarts",
	"domain cut", "domain cut", "domain killed", "rolling restart", "owners killed", "signals",
	"shares change", "limits change", "queue goes", "configuration series",
)

const (
	// soakDrainTime is the time that a worker says it has left when it begins to drain.
	soakDrainTime = 2 * time.Second
	// soakSignalGap is the time between two signals of a series.
	soakSignalGap = 50 * time.Millisecond
	soakSeries    = 3
)

// injectWorkerEnd ends workers, for good or for a while.
func (s *soakSite) injectWorkerEnd(f soakFault, w *soakWorker) {
	if f.kind == "rack restarts" {
		s.restartWorkers(s.findWorkers(func(x *soakWorker) bool { return x.worker.Rack == w.worker.Rack })...)
		return
	}
	if !s.claim(w.worker.Name) {
		return
	}
	if f.kind == "worker drains" {
		w.isDraining.Store(true)
		s.sleep(soakDrainTime)
	}
	s.killWorker(w)
	if f.kind == "worker lost" && int(s.lost.Add(1)) <= s.plan.maxLost() {
		return
	}
	s.sleep(f.duration)
	s.reviveWorker(w)
	s.busy.Delete(w.worker.Name)
}

// restartWorkers restarts workers that are up as new instances without tasks.
func (s *soakSite) restartWorkers(ws ...*soakWorker) {
	for _, w := range ws {
		if s.claim(w.worker.Name) {
			s.runners.Add(w.worker)
			w.relay.closeLinks()
			s.busy.Delete(w.worker.Name)
		}
	}
}

func (s *soakSite) findWorkers(f func(w *soakWorker) bool) []*soakWorker {
	return slices.DeleteFunc(slices.Clone(s.workers), func(w *soakWorker) bool { return !f(w) })
}

// injectSeries injects faults of several hosts, or several faults of one.
func (s *soakSite) injectSeries(f soakFault, h *soakHost) {
	switch f.kind {
	case "domain cut":
		s.cutDomain(f, h.domain)
	case "domain killed":
		s.killDomain(f, h.domain)
	case "rolling restart":
		first := slices.Index(s.hosts, h)
		for i := range min(soakSeries, len(s.hosts)) {
			x := s.hosts[(first+i)%len(s.hosts)]
			s.withHost(x, func() {
				s.terminate(x, s.process(x.name), i == 1)
				s.startHost(x)
			})
		}
	case "owners killed":
		for range soakSeries {
			x := s.owner()
			s.withHost(x, func() { s.restartKilled(x, 0) })
			s.sleep(f.duration / soakSeries)
		}
	case "signals":
		s.withHost(h, func() {
			for _, g := range []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGHUP} {
				s.signalHost(h, g)
				s.sleep(soakSignalGap)
			}
			s.sleep(f.duration / 4)
			s.signalHost(h, syscall.SIGCONT)
			s.signalHost(h, syscall.SIGHUP)
			s.terminate(h, s.process(h.name), true)
			s.startHost(h)
		})
	}
}

// withHost calls f while the host counts as having a fault, unless another fault has the host.
func (s *soakSite) withHost(h *soakHost, f func()) {
	if !s.claim(h.name) {
		return
	}
	h.beginFault()
	f()
	h.endFault()
	s.busy.Delete(h.name)
}

// restartKilled kills a host and starts it again after a time.
func (s *soakSite) restartKilled(h *soakHost, after time.Duration) {
	h.setUp(false)
	s.signalHost(h, syscall.SIGKILL)
	<-s.process(h.name).done
	s.sleep(after)
	s.startHost(h)
}

// cutDomain cuts the hosts of a failure domain off from the store, and all hosts from its workers.
func (s *soakSite) cutDomain(f soakFault, domain string) {
	rs := []*relay{}
	for _, h := range s.hosts {
		if h.domain == domain {
			h.beginFault()
			defer h.endFault()
			rs = append(rs, h.store)
		}
	}
	for _, w := range s.findWorkers(func(w *soakWorker) bool { return w.worker.Domain == domain }) {
		rs = append(rs, w.relay)
	}
	for _, r := range rs {
		r.block(true, true)
	}
	s.sleep(f.duration)
	for _, r := range rs {
		r.unblock()
	}
}

// killDomain kills the hosts and the workers of a failure domain, and starts them again after a while.
func (s *soakSite) killDomain(f soakFault, domain string) {
	var g sync.WaitGroup
	for _, h := range s.hosts {
		if h.domain == domain {
			g.Go(func() { s.withHost(h, func() { s.restartKilled(h, f.duration) }) })
		}
	}
	for _, w := range s.findWorkers(func(w *soakWorker) bool { return w.worker.Domain == domain }) {
		g.Go(func() { s.injectWorkerEnd(soakFault{kind: "worker away", duration: f.duration}, w) })
	}
	g.Wait()
}
