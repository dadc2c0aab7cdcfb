package exec

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// watch keeps the lease of a worker and takes its reports while anything runs there.
func (e *Engine) watch(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		e.mu.Lock()
		isIdle := w.isHeld && !w.isSuspect && len(w.tasks) == 0 && len(w.orphans) == 0 && w.told == w.handled
		isDone := !w.isListed && len(w.tasks) == 0
		e.mu.Unlock()
		if isDone {
			e.mu.Lock()
			w.cancel()
			w.cancel = nil
			e.book(w)
			delete(e.workers, w.name)
			e.mu.Unlock()
			return
		}
		if isIdle {
			select {
			case <-w.wake:
			case <-e.clock.After(idleLook):
			case <-ctx.Done():
				return
			}
			continue
		}
		e.look(ctx, w)
	}
}

// idleLook is how often a worker on which nothing runs is considered again.
const idleLook = 5 * time.Second

// look holds a worker once and takes its report.
func (e *Engine) look(ctx context.Context, w *worker) {
	e.mu.Lock()
	now := e.clock.Now()
	h := port.RunHold{Token: e.term, Wait: lookWait, Worker: w.name}
	// Another lifetime, whose ends are numbered anew, must not forget any unread: ends are acknowledged to a worker that
	// has just reported, in one attempt.
	if !w.isFailing && now.Sub(w.answered) <= ackAge && w.seen() > w.told {
		h.Seen, h.Once, h.Within = w.seen(), true, silence
	}
	if !w.isHeld || w.isSuspect || len(w.orphans) > 0 {
		h.Wait = 0
	}
	if !w.clockRead.IsZero() && !w.isFailing && e.mayHold() {
		h.Until = w.until(now, e.bounds.MaxHold)
		w.leaseEnd = later(w.leaseEnd, now.Add(e.leaseBound()))
	}
	w.asked = now
	addr := w.runner.Worker.Addr
	e.mu.Unlock()
	r, err := e.out.Runners.Hold(ctx, addr, h)
	e.scope.Counter("worker_looks").Inc(1)
	if err != nil {
		e.lookFailed(ctx, w, err)
		return
	}
	stored := make(chan struct{})
	e.mu.Lock()
	w.told = max(w.told, h.Seen)
	e.report(w, now, r, func() { close(stored) })
	e.mu.Unlock()
	select {
	case <-stored:
	case <-e.clock.After(ackPatience):
	case <-ctx.Done():
	}
	e.mu.Lock()
	isOpen := len(w.open) > 0 || len(w.orphans) > 0
	e.mu.Unlock()
	if isOpen {
		// The worker answers at once as long as it lists ends that are not acknowledged.
		_ = e.clock.Sleep(ctx, openPause)
	}
}

// seen returns the newest end that the worker need not list again.
func (w *worker) seen() int64 {
	n := w.written
	for x := range w.open {
		n = min(n, x-1)
	}
	return n
}

// mayHold reports whether this owner may still extend leases: not for long after its term may have ended.
func (e *Engine) mayHold() bool {
	if e.renewed == nil {
		return true
	}
	at := e.renewed()
	return at.IsZero() || e.clock.Age(at) < holdGrace
}

func (e *Engine) lookFailed(ctx context.Context, w *worker, err error) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	w.isFailing = true
	if errors.Is(err, port.ErrOther) {
		e.log.Info("another worker is at the address", "Worker", w.name)
		e.restarted(w, port.RunReport{})
		w.isHeld = false
		e.book(w)
	} else if errors.Is(err, port.ErrFenced) {
		e.log.Warn("look refused for a newer owner, term is over", "Worker", w.name, "Term", e.term)
		e.cancel()
	}
	e.mu.Unlock()
	_ = e.clock.Sleep(ctx, lookPause)
}
