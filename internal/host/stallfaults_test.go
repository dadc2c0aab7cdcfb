package host

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// fault is a fault that a hunt injects; begin returns the function that ends it.
type fault struct {
	name  string
	begin func(h *hunt) func()
}

// change is a change of the load or of the configuration, which is no fault.
type change struct {
	name string
	do   func(h *hunt)
}

var changes = []change{
	{"shares change", func(h *hunt) { h.configure(configShares) }},
	{"key goes", func(h *hunt) { h.configure(configNoKey) }},
	{"limits change", func(h *hunt) { h.configure(configLimits) }},
	{"plain configuration", func(h *hunt) { h.configure(configPlain) }},
	{"many jobs are cancelled", func(h *hunt) { h.cancelSome(0.5) }},
	{"burst of jobs", func(h *hunt) {
		for range 12 {
			h.load.submit()
		}
	}},
}

func nothing() {}

var faults = []fault{
	{"host is killed", func(h *hunt) func() {
		h.end(h.pickVictim())
		return h.replace
	}},
	{"host is replaced at once", func(h *hunt) func() {
		h.end(h.pickVictim())
		h.replace()
		return nothing
	}},
	{"host shuts down", func(h *hunt) func() {
		v := h.pickVictim()
		h.replace()
		h.stopHost(v)
		delete(h.hosts, v)
		return nothing
	}},
	{"all hosts restart", func(h *hunt) func() {
		for _, v := range h.liveHosts() {
			h.end(v)
			h.replace()
		}
		return nothing
	}},
	{"host is suspended", func(h *hunt) func() {
		h.suspend(h.pickVictim(), 20*time.Second)
		return nothing
	}},
	{"store does not answer a host", func(h *hunt) func() { return h.impairStore((*hunt).setUnresponsive, h.pickVictim()) }},
	{"store rejects a host", func(h *hunt) func() { return h.impairStore((*hunt).setRejected, h.pickVictim()) }},
	{"store is down", func(h *hunt) func() { return h.impairStore((*hunt).setUnresponsive, h.liveHosts()...) }},
	{"store rejects all", func(h *hunt) func() { return h.impairStore((*hunt).setRejected, h.liveHosts()...) }},
	{"answers to appends of a host are lost", func(h *hunt) func() { return h.impairStore((*hunt).setLossy, h.pickVictim()) }},
	{"answers to all appends are lost", func(h *hunt) func() { return h.impairStore((*hunt).setLossy, h.liveHosts()...) }},
	{"store is slow", func(h *hunt) func() {
		h.store.SetDelay(100*time.Millisecond + h.drawTime(500*time.Millisecond))
		return func() { h.store.SetDelay(2 * time.Millisecond) }
	}},
	{"records expire", func(h *hunt) func() {
		h.store.Expire(jobsTopic)
		return func() { h.store.Expire(jobsTopic) }
	}},
	{"records of the worker list expire", func(h *hunt) func() {
		h.store.Expire(rosterTopic)
		return func() { h.store.Expire(rosterTopic) }
	}},
	{"host loses a third of the workers", func(h *hunt) func() { return h.cutLinks([]string{h.pickVictim()}, h.pickThird()) }},
	{"all hosts lose a third of the workers", func(h *hunt) func() { return h.cutLinks(h.liveHosts(), h.pickThird()) }},
	{"host is cut off from its peers", func(h *hunt) func() { return h.isolate(h.pickVictim()) }},
	{"failure domain is cut off", func(h *hunt) func() {
		v := h.pickVictim()
		all, workers := h.liveHosts(), h.pickThird()
		ends := []func(){h.isolate(v), h.cutLinks(all, workers), h.impairStore((*hunt).setUnresponsive, v)}
		return func() { callAll(ends) }
	}},
	{"workers are killed and unlisted", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, h.roster.remove)
		h.load.advance(4500 * time.Millisecond)
		each(ws, h.roster.unlist)
		return nothing
	}},
	{"workers are away", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, h.roster.remove)
		return func() { each(ws, h.roster.restart) }
	}},
	{"workers restart", func(h *hunt) func() {
		each(h.pickWorkers(), h.roster.restart)
		return nothing
	}},
	{"workers drain and come back", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, func(w fleet.Worker) { h.roster.list(w, true) })
		return func() {
			each(ws, h.roster.remove)
			each(ws, h.roster.unlist)
			each(ws, h.roster.restart)
		}
	}},
	{"workers are unlisted for a while", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, h.roster.unlist)
		return func() { each(ws, func(w fleet.Worker) { h.roster.list(w, false) }) }
	}},
	{"workers fail all runs", func(h *hunt) func() {
		h.adjust.set(h.pickWorkers(), nil)
		return func() { h.adjust.set(nil, nil) }
	}},
	{"workers are slow", func(h *hunt) func() {
		h.adjust.set(nil, h.pickWorkers())
		return func() { h.adjust.set(nil, nil) }
	}},
	{"tasks of workers stand still", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, func(w fleet.Worker) { h.runners.SetStalled(w.Addr) })
		return func() { each(ws, h.roster.restart) }
	}},
	{"orders are carried out late", func(h *hunt) func() {
		ws, d := h.pickWorkers(), time.Second+h.drawTime(5*time.Second)
		each(ws, func(w fleet.Worker) { h.runners.SetCommandDelay(w.Addr, d) })
		return func() { each(ws, func(w fleet.Worker) { h.runners.SetCommandDelay(w.Addr, 0) }) }
	}},
	{"reports are late", func(h *hunt) func() {
		ws, d := h.pickWorkers(), h.drawTime(3*time.Second)
		each(ws, func(w fleet.Worker) { h.runners.SetReportDelay(w.Addr, d) })
		return func() { each(ws, func(w fleet.Worker) { h.runners.SetReportDelay(w.Addr, 0) }) }
	}},
	{"workers refuse starts", func(h *hunt) func() {
		ws := h.pickWorkers()
		each(ws, func(w fleet.Worker) { h.runners.SetFull(w.Addr, true) })
		return func() { each(ws, func(w fleet.Worker) { h.runners.SetFull(w.Addr, false) }) }
	}},
	{"failure domain restarts and is cut off", func(h *hunt) func() { return h.recutThird(false) }},
	{"failure domain restarts, host is killed, domain is cut off", func(h *hunt) func() { return h.recutThird(true) }},
	{"queue goes", func(h *hunt) func() {
		h.configure(configNoQueue)
		return func() { h.configure(configPlain) }
	}},
}

// impairStore makes the calls of some hosts to the store fail, and returns a function that ends that.
func (h *hunt) impairStore(set func(h *hunt, host string, is bool), hosts ...string) func() {
	each(hosts, func(v string) { set(h, v, true) })
	return func() {
		for _, v := range hosts {
			if h.hosts[v] != nil {
				set(h, v, false)
			}
		}
	}
}

func (h *hunt) setUnresponsive(host string, is bool) { h.store.SetUnresponsive(host, is) }

func (h *hunt) setRejected(host string, is bool) { h.store.SetRejected(host, is) }

func (h *hunt) setLossy(host string, is bool) {
	h.store.SetLossy(host, is, time.Duration(h.rand.IntN(3))*time.Second)
}

// cutLinks cuts the links from some hosts to some workers, and returns a function that restores them.
func (h *hunt) cutLinks(hosts, workers []string) func() {
	set := func(is bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, v := range hosts {
			for _, w := range workers {
				h.cut[[2]string{v, w}] = is
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// isolate cuts the links between a host and its peers, and returns a function that restores them.
func (h *hunt) isolate(host string) func() {
	peers := h.liveHosts()
	each(peers, func(p string) { h.setPeersCut(true, host, p) })
	return func() { each(peers, func(p string) { h.setPeersCut(false, host, p) }) }
}

func each[T any](xs []T, f func(x T)) {
	for _, x := range xs {
		f(x)
	}
}

func callAll(fs []func()) {
	for _, f := range fs {
		f()
	}
}
