package standin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// maxOrderAge is the longest time for which an order without an answer is kept.
const maxOrderAge = 10 * time.Second

// order is a start or a renewal that has not been answered.
type order struct {
	sentAt  time.Time
	execute func(w *runWorker)
	// isExecuted is set once a start has been executed.
	isExecuted bool
}

// DrawDelay returns the time until a restarted worker executes an order of the given age, and whether it executes it at all.
type DrawDelay func(age time.Duration) (time.Duration, bool)

// Restart starts a worker as Add does; the new instance also executes the orders that have not been answered at its address.
func (r *Runners) Restart(w fleet.Worker, draw DrawDelay) {
	r.Add(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, o := range r.unanswered[w.Addr] {
		if delay, ok := draw(now.Sub(o.sentAt)); ok && !o.isExecuted {
			go r.executeLate(w.Addr, o, delay)
		}
	}
	delete(r.unanswered, w.Addr)
}

// executeLate lets the worker that is up at an address after a delay execute an order.
func (r *Runners) executeLate(at netip.AddrPort, o *order, delay time.Duration) {
	_ = r.clock.Sleep(context.Background(), delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.byAddr[at]; w != nil && !o.isExecuted {
		o.execute(w)
	}
}

// callStart sends a start to a worker.
func (r *Runners) callStart(ctx context.Context, host string, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
	o := &order{execute: func(w *runWorker) { _, _ = r.startTask(w, s) }}
	r.keepOrder(host, to, s.Worker, o)
	w, err := r.beginCall(ctx, host, to)
	if err != nil {
		return 0, err
	}
	return r.execute(w, func() (time.Duration, error) {
		o.isExecuted = r.byAddr[to] == w
		return r.startTask(w, s)
	})
}

// callRenew sends a renewal to a worker.
func (r *Runners) callRenew(ctx context.Context, host string, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
	o := &order{execute: func(w *runWorker) {
		if r.admit(w, h.Token, h.Worker) == nil {
			r.renewLease(w, h)
		}
	}}
	r.keepOrder(host, to, h.Worker, o)
	w, err := r.beginCall(ctx, host, to)
	if err != nil {
		return port.RunReport{}, err
	}
	x, err := r.hold(ctx, host, w, h)
	if err == nil || errors.Is(err, port.ErrFenced) || errors.Is(err, port.ErrWrongWorker) {
		r.dropOrder(to, o)
	}
	return x, err
}

// keepOrder keeps an order to a worker for maxOrderAge, unless the link to the worker is cut.
func (r *Runners) keepOrder(host string, to netip.AddrPort, worker string, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut(host, worker) {
		return
	}
	o.sentAt = r.clock.Now()
	kept := slices.DeleteFunc(r.unanswered[to], func(x *order) bool { return x.isExecuted || o.sentAt.Sub(x.sentAt) > maxOrderAge })
	r.unanswered[to] = append(kept, o)
}

// dropOrder drops an order that has been answered.
func (r *Runners) dropOrder(to netip.AddrPort, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered[to] = slices.DeleteFunc(r.unanswered[to], func(x *order) bool { return x == o })
}

// renewLease extends the lease of a worker and drops the ends that a renewal acknowledges.
func (r *Runners) renewLease(w *runWorker, h port.LeaseRenewal) {
	r.extendLease(w, h.Until, r.clock.Now())
	r.acknowledge(w, h.AckedEnd)
}
