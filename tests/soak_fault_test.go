package tests

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Kinds of faults, each brought about from outside of the processes.
var soakKinds = []string{
	"kill", "kill", "pause", "pause", "terminate", "reload", "bad settings",
	"store cut", "store one way", "store reset", "store silent", "store delayed",
	"store turns host away", "store loses answers", "store down", "store forgets",
	"worker cut", "worker one way", "worker reset", "worker silent", "worker delayed",
	"worker restarts", "worker acts late", "worker unlisted", "revoke", "reload twice",
}

const (
	// soakDelay is what a delayed way adds at most.
	soakDelay = 300 * time.Millisecond
	// soakLate is how late orders are carried out at most.
	soakLate = 6 * time.Second
)

// strike brings a fault about, waits as long as it lasts, and mends it.
func (s *soakSite) strike(f soakFault, busy *sync.Map) {
	h := s.hosts[max(f.host, 0)]
	if f.host < 0 {
		h = s.owner()
	}
	// One fault of a process at a time: a host that is down or leaving cannot be struck again.
	if isOfProcess(f.kind) {
		if _, taken := busy.LoadOrStore(h.name, true); taken {
			return
		}
		defer busy.Delete(h.name)
	}
	w := s.workers[f.worker]
	s.t.Logf("%6s %-22s %s %s for %s", f.at.Round(time.Millisecond), f.kind, h.name, w.worker.Name, f.lasts.Round(time.Millisecond))
	switch f.kind {
	case "kill", "pause", "terminate", "reload", "bad settings", "reload twice":
		h.enter()
		defer h.leave()
		s.strikeProcess(f, h)
	case "store cut", "store one way", "store reset", "store silent", "store delayed":
		h.enter()
		defer h.leave()
		s.strikeWay(f, h.store)
	case "store turns host away", "store loses answers", "store down", "store forgets":
		s.strikeStore(f, h)
	case "worker cut", "worker one way", "worker reset", "worker silent", "worker delayed":
		s.strikeWay(f, w.relay)
	case "worker restarts":
		s.runners.Add(w.worker)
		w.relay.closeLinks()
	case "worker acts late":
		s.runners.SetDrop(w.worker.Addr, time.Duration(f.strength)*soakLate/1000+time.Millisecond)
		s.sleep(f.lasts)
		s.runners.SetDrop(w.worker.Addr, 0)
	case "worker unlisted":
		w.isListed.Store(false)
		s.sleep(f.lasts)
		w.isListed.Store(true)
	case "revoke":
		s.revoke(f)
	}
}

func isOfProcess(kind string) bool {
	switch kind {
	case "kill", "pause", "terminate", "reload", "bad settings", "reload twice":
		return true
	default:
		return false
	}
}

func (s *soakSite) strikeProcess(f soakFault, h *soakHost) {
	p := s.process(h.name)
	switch f.kind {
	case "kill":
		h.setUp(false)
		s.signalHost(h, syscall.SIGKILL)
		<-p.done
		s.sleep(f.lasts)
		s.startHost(h)
	case "pause":
		s.signalHost(h, syscall.SIGSTOP)
		s.sleep(f.lasts)
		s.signalHost(h, syscall.SIGCONT)
	case "terminate":
		s.terminate(h, p, f.strength%3 == 0)
		s.sleep(f.lasts / 2)
		s.startHost(h)
	case "reload":
		s.signalHost(h, syscall.SIGHUP)
	case "reload twice":
		s.signalHost(h, syscall.SIGHUP)
		s.signalHost(h, syscall.SIGHUP)
		s.sleep(f.lasts / 4)
		s.signalHost(h, syscall.SIGHUP)
	case "bad settings":
		s.writeSettings(h, "[Nowhere]\nKey = 1\n")
		s.signalHost(h, syscall.SIGHUP)
		s.sleep(f.lasts)
		s.writeSettings(h, "")
		s.signalHost(h, syscall.SIGHUP)
	}
}

// terminate asks a host to stop, sometimes twice, and wants it gone within its grace.
func (s *soakSite) terminate(h *soakHost, p *process, again bool) {
	h.setLeaving(time.Now())
	s.signalHost(h, syscall.SIGTERM)
	if again {
		s.sleep(200 * time.Millisecond)
		s.signalHost(h, syscall.SIGTERM)
	}
	select {
	case <-p.done:
		if c := p.cmd.ProcessState.ExitCode(); c != 0 {
			s.violate("%s ended with %d after SIGTERM", h.name, c)
		}
	case <-time.After(soakGrace):
		s.violate("%s runs on for longer than %s after SIGTERM", h.name, soakGrace)
		s.signalHost(h, syscall.SIGKILL)
		<-p.done
	}
	h.setUp(false)
}

// strikeWay harms the connections through a relay.
func (s *soakSite) strikeWay(f soakFault, r *relay) {
	switch f.kind {
	case "store cut", "worker cut":
		r.hold(true, true)
		s.sleep(f.lasts)
		r.release()
	case "store one way", "worker one way":
		r.hold(f.strength%2 == 0, f.strength%2 != 0)
		s.sleep(f.lasts)
		r.release()
	case "store delayed", "worker delayed":
		r.delay.Store(int64(soakDelay) * int64(f.strength) / 1000)
		s.sleep(f.lasts)
		r.release()
	case "store reset", "worker reset":
		r.closeLinks()
	case "store silent", "worker silent":
		r.silence()
	}
}

func (s *soakSite) strikeStore(f soakFault, h *soakHost) {
	switch f.kind {
	case "store turns host away":
		h.enter()
		s.store.SetRefused(h.name, true)
		s.sleep(f.lasts)
		s.store.SetRefused(h.name, false)
		h.leave()
	case "store loses answers":
		h.enter()
		s.store.SetLossy(h.name, true, time.Duration(f.strength)*2*time.Millisecond)
		s.sleep(f.lasts)
		s.store.SetLossy(h.name, false, 0)
		h.leave()
	case "store down":
		s.enterStore()
		for _, x := range s.hosts {
			s.store.SetSilent(x.name, true)
		}
		s.sleep(f.lasts)
		for _, x := range s.hosts {
			s.store.SetSilent(x.name, false)
		}
		s.leaveStore()
	case "store forgets":
		s.store.Expire(jobsTopic)
		s.store.Expire(operatorTopic)
		s.store.Expire(workersTopic)
	}
}

// revoke replaces the key of an organisation, and wants the old one refused everywhere once the bound is over.
func (s *soakSite) revoke(f soakFault) {
	org := []string{"harbour", "quay"}[f.strength%2]
	s.lock.Lock()
	keys := map[string]string{}
	for o, k := range s.keys {
		keys[o] = k
	}
	s.lock.Unlock()
	old := keys[org]
	keys[org] = fmt.Sprintf("%s-%d", org, f.at)
	s.configure(keys)
	s.sleep(soakRevoke)
	id := fmt.Sprintf("%016x", 1<<40+int64(f.at))
	for i, h := range s.hosts {
		q := soakCall{http.MethodPost, "quiet", fmt.Sprintf("%s%x", id[:15], i%16), old, []byte(`{"spec":"x","steps":[{"count":1,"cpu":1}]}`)}
		if s.call(h, q).status == http.StatusOK {
			s.violate("%s took a key that was withdrawn %s before", h.name, soakRevoke)
		}
	}
}

func (h *soakHost) setUp(is bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = is
}

func (h *soakHost) setLeaving(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = at
}
