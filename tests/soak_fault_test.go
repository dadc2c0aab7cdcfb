package tests

import (
	"syscall"
	"time"
)

// soakFaultKinds lists the kinds of faults, all injected from outside of the processes; a kind that is listed twice is drawn
// twice as often.
var soakFaultKinds = []string{
	"kill", "kill", "pause", "pause", "terminate", "reload", "bad settings",
	"store cut", "store one way", "store reset", "store silent", "store delayed",
	"store rejects host", "store loses answers", "store down", "store expires records",
	"worker cut", "worker one way", "worker reset", "worker silent", "worker delayed",
	"worker restarts", "worker delays commands", "worker unlisted", "revoke", "reload twice",
}

const (
	// soakMaxDelay is the highest delay of a link.
	soakMaxDelay = 300 * time.Millisecond
	// soakMaxCommandDelay is the highest delay of the commands to a worker.
	soakMaxCommandDelay = 6 * time.Second
)

// inject injects a fault, waits for its duration, and ends it.
func (s *soakSite) inject(f soakFault) {
	h := s.hosts[max(f.host, 0)]
	if f.host < 0 {
		h = s.owner()
	}
	// A process has one fault at a time, as signals cannot reach a host that is down or leaving.
	if isProcessFault(f.kind) {
		if !s.claim(h.name) {
			return
		}
		defer s.busy.Delete(h.name)
	}
	w := s.workers[f.worker]
	s.t.Logf("%6s %-22s %s %s for %s", f.startAt.Round(time.Millisecond), f.kind, h.name, w.worker.Name, f.duration.Round(time.Millisecond))
	if isDisruptive(f.kind) {
		defer s.stalls.beginFault()()
	}
	switch f.kind {
	case "kill", "pause", "terminate", "reload", "bad settings", "reload twice":
		h.beginFault()
		defer h.endFault()
		s.injectProcessFault(f, h)
	case "store cut", "store one way", "store reset", "store silent", "store delayed":
		h.beginFault()
		defer h.endFault()
		s.injectLinkFault(f, h.store)
	case "store rejects host", "store loses answers", "store down", "store expires records":
		s.injectStoreFault(f, h)
	case "worker cut", "worker one way", "worker reset", "worker silent", "worker delayed":
		s.injectLinkFault(f, w.relay)
	case "worker restarts":
		s.restartWorkers(w)
	case "worker delays commands":
		delay := time.Duration(f.magnitude)*soakMaxCommandDelay/1000 + time.Millisecond
		s.runners.SetCommandDelay(w.worker.Addr, delay)
		s.sleep(f.duration)
		s.runners.SetCommandDelay(w.worker.Addr, 0)
		// The last commands are still to be carried out.
		defer s.sleep(delay)
	case "worker unlisted":
		w.isListed.Store(false)
		s.sleep(f.duration)
		w.isListed.Store(true)
	case "revoke", "shares change", "limits change", "queue goes", "configuration series":
		s.change(f)
	case "worker lost", "worker away", "worker drains", "rack restarts":
		s.injectWorkerEnd(f, w)
	case domainReturns, domainReturnsKilled:
		s.returnDomain(f, w.worker.Domain, f.kind == domainReturnsKilled)
	default:
		s.injectSeries(f, h)
	}
}

// claim takes a host or a worker for a fault that no other may overlap, and reports whether it was free.
func (s *soakSite) claim(name string) bool {
	_, isTaken := s.busy.LoadOrStore(name, true)
	return !isTaken
}

func isProcessFault(kind string) bool {
	switch kind {
	case "kill", "pause", "terminate", "reload", "bad settings", "reload twice":
		return true
	default:
		return false
	}
}

// isDisruptive reports whether jobs may stand still during a fault and for a while after it.
func isDisruptive(kind string) bool {
	switch kind {
	case "reload", "bad settings", "reload twice", "revoke", "shares change", "limits change", "queue goes", "configuration series":
		return false
	default:
		return true
	}
}

func (s *soakSite) injectProcessFault(f soakFault, h *soakHost) {
	p := s.process(h.name)
	switch f.kind {
	case "kill":
		s.restartKilled(h, f.duration)
	case "pause":
		s.signalHost(h, syscall.SIGSTOP)
		s.sleep(f.duration)
		s.signalHost(h, syscall.SIGCONT)
	case "terminate":
		s.terminate(h, p, f.magnitude%3 == 0)
		s.sleep(f.duration / 2)
		s.startHost(h)
	case "reload":
		s.signalHost(h, syscall.SIGHUP)
	case "reload twice":
		s.signalHost(h, syscall.SIGHUP)
		s.signalHost(h, syscall.SIGHUP)
		s.sleep(f.duration / 4)
		s.signalHost(h, syscall.SIGHUP)
	case "bad settings":
		s.writeSettings(h, "[Nowhere]\nKey = 1\n")
		s.signalHost(h, syscall.SIGHUP)
		s.sleep(f.duration)
		s.writeSettings(h, "")
		s.signalHost(h, syscall.SIGHUP)
	}
}

// terminate sends SIGTERM to a host, twice if isRepeated, and checks that it exits with 0 within the grace period.
func (s *soakSite) terminate(h *soakHost, p *process, isRepeated bool) {
	h.setLeaving(time.Now())
	s.signalHost(h, syscall.SIGTERM)
	if isRepeated {
		s.sleep(200 * time.Millisecond)
		s.signalHost(h, syscall.SIGTERM)
	}
	select {
	case <-p.done:
		if c := p.cmd.ProcessState.ExitCode(); c != 0 {
			s.violate("%s exited with %d after SIGTERM", h.name, c)
		}
	case <-time.After(soakGracePeriod):
		s.violate("%s still runs %s after SIGTERM", h.name, soakGracePeriod)
		s.signalHost(h, syscall.SIGKILL)
		<-p.done
	}
	h.setUp(false)
}

// injectLinkFault injects a fault into the connections through a relay.
func (s *soakSite) injectLinkFault(f soakFault, r *relay) {
	switch f.kind {
	case "store cut", "worker cut":
		r.block(true, true)
		s.sleep(f.duration)
		r.unblock()
	case "store one way", "worker one way":
		r.block(f.magnitude%2 == 0, f.magnitude%2 != 0)
		s.sleep(f.duration)
		r.unblock()
	case "store delayed", "worker delayed":
		r.delay.Store(int64(soakMaxDelay) * int64(f.magnitude) / 1000)
		s.sleep(f.duration)
		r.unblock()
	case "store reset", "worker reset":
		r.closeLinks()
	case "store silent", "worker silent":
		r.blackhole()
	}
}

func (s *soakSite) injectStoreFault(f soakFault, h *soakHost) {
	switch f.kind {
	case "store rejects host":
		h.beginFault()
		s.store.SetRejected(h.name, true)
		s.sleep(f.duration)
		s.store.SetRejected(h.name, false)
		h.endFault()
	case "store loses answers":
		h.beginFault()
		delay := time.Duration(f.magnitude) * 2 * time.Millisecond
		s.store.SetLossy(h.name, true, delay)
		s.sleep(f.duration)
		s.store.SetLossy(h.name, false, 0)
		h.endFault()
		// The last appends are still to take effect.
		s.sleep(delay)
	case "store down":
		s.beginStoreFault()
		for _, x := range s.hosts {
			s.store.SetUnresponsive(x.name, true)
		}
		s.sleep(f.duration)
		for _, x := range s.hosts {
			s.store.SetUnresponsive(x.name, false)
		}
		s.endStoreFault()
	case "store expires records":
		s.store.Expire(jobsTopic)
		s.store.Expire(operatorTopic)
		s.store.Expire(workersTopic)
	}
}

func (h *soakHost) setUp(isUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isUp = isUp
}

func (h *soakHost) setLeaving(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingAt = at
}
