package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"google.golang.org/protobuf/proto"
)

// Await waits for the end of a job for at most the requested time, and returns the status of a job that has not ended.
func (s *Scheduler) Await(ctx context.Context, q *wire.AwaitRequest, reply *wire.AwaitReply) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	ended, leave := r.addWaiter(q.GetJob())
	defer leave()
	if s.fillOutcome(q, reply) {
		return nil
	}
	select {
	case <-ended:
	case <-s.clock.After(time.Duration(q.GetWaitMillis()) * time.Millisecond):
	case <-r.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.fillOutcome(q, reply) {
		return nil
	}
	return r.runInLoop(ctx, func() { reply.Status = r.status(q.GetJob()) })
}

// fillOutcome sets the outcome in the reply, with the requested range of the answer, and reports whether there is one.
func (s *Scheduler) fillOutcome(q *wire.AwaitRequest, reply *wire.AwaitReply) bool {
	o, ok := s.outcome(q.GetJob())
	if !ok {
		return false
	}
	c := proto.CloneOf(o)
	c.Answer = answerRange(o.GetAnswer(), q.GetOffset(), q.GetLimit())
	reply.Ended = true
	reply.Outcome = c
	return true
}

func answerRange(b []byte, offset, limit int64) []byte {
	n := int64(len(b))
	from := min(max(offset, 0), n)
	return b[from:min(from+max(limit, 0), n)]
}

func (r *ownership) status(id string) *wire.JobStatus {
	x, err := r.planner.Status(id)
	if err != nil {
		return &wire.JobStatus{Job: id, State: "Unknown", Reason: "the job is not held here"}
	}
	return statusToWire(x)
}

func statusToWire(x plan.Status) *wire.JobStatus {
	st := &wire.JobStatus{
		Job:          x.Job.ID,
		State:        x.State,
		Reason:       x.Reason,
		WaitsFor:     x.WaitsFor,
		Workers:      x.Workers,
		Attempt:      int32(x.Job.Attempt),
		Organisation: x.Job.Organisation,
		Profile:      x.Job.Profile,
	}
	if !x.Expected.IsZero() {
		st.ExpectedStartUnixMillis = x.Expected.UnixMilli()
	}
	return st
}

// waiter is shared by all requests that wait for the same job.
type waiter struct {
	ended chan struct{}
	users int
}

// addWaiter returns a channel that is closed when the job ends, and a function that releases the waiter.
func (r *ownership) addWaiter(id string) (<-chan struct{}, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.waiters[id]
	if !ok {
		w = &waiter{ended: make(chan struct{})}
		r.waiters[id] = w
	}
	w.users++
	return w.ended, func() { r.releaseWaiter(id, w) }
}

func (r *ownership) releaseWaiter(id string, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.users--
	if w.users == 0 && r.waiters[id] == w {
		delete(r.waiters, id)
	}
}

func (r *ownership) notifyWaiters(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.waiters[id]; ok {
		close(w.ended)
		delete(r.waiters, id)
	}
}
