package exec

import (
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// serviceOf returns the service of a queue, or "" if it is not known.
func (e *Engine) serviceOf(name string) string {
	if q := e.getQueue(name); q != nil {
		return q.Service
	}
	return ""
}

// isOwnService reports whether a queue names the service, also a removed one whose jobs go on. It is true without a configuration, and
// for a worker that names no service.
func (e *Engine) isOwnService(name string) bool {
	if e.config == nil || name == "" {
		return true
	}
	for _, qs := range [][]queue.Queue{e.config.Queues, e.config.Removed} {
		for i := range qs {
			if qs[i].Service == name || qs[i].Service == "" {
				return true
			}
		}
	}
	for _, q := range e.retired {
		if q.Service == name || q.Service == "" {
			return true
		}
	}
	return false
}

// putForeign notes a listed worker whose service no queue names. It is not called, except while tasks that were started there
// under another configuration go on.
func (e *Engine) putForeign(r port.Runner) {
	if _, isKnown := e.foreign[r.Worker.Name]; !isKnown {
		e.log.Info("worker of a service that no queue names", "Worker", r.Worker.Name, "Service", r.Worker.Service)
	}
	e.foreign[r.Worker.Name] = r
	w := e.workers[r.Worker.Name]
	if w == nil {
		return
	}
	w.runner = r
	e.unlist(w)
	if len(w.tasks) > 0 {
		e.startPoller(w)
	}
}

// syncServices lists the workers of services that queues have begun to name, and unlists those of services that none names any more.
func (e *Engine) syncServices() {
	for name, r := range e.foreign {
		if e.isOwnService(r.Worker.Service) {
			delete(e.foreign, name)
			e.listRunner(r)
		}
	}
	for _, w := range e.workers {
		if w.isListed && !e.isOwnService(w.runner.Worker.Service) {
			e.putForeign(w.runner)
		}
	}
}
