package sched

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Cancel cancels jobs together; it is idempotent.
func (s *Scheduler) Cancel(ctx context.Context, q *wire.CancelRequest, reply *wire.CancelReply) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	var out []*wire.CancelResult
	err = r.runInLoop(ctx, func() { out = r.cancelJobs(q.GetJobs()) })
	if err != nil {
		return err
	}
	reply.Results = out
	return nil
}

func (r *ownership) cancelJobs(ids []string) []*wire.CancelResult {
	jobs := map[string]fleet.Job{}
	for _, id := range ids {
		if x, err := r.planner.Status(id); err == nil {
			jobs[id] = x.Job
		}
	}
	r.isChanged = true
	queued := map[string]bool{}
	for _, id := range r.planner.Cancel(ids) {
		queued[id] = true
		r.endJob(jobs[id], Outcome{Kind: fleet.Cancelled, Reason: "cancelled before it started"})
	}
	out := make([]*wire.CancelResult, 0, len(ids))
	for _, id := range ids {
		out = append(out, r.cancelJob(id, queued[id]))
	}
	return out
}

// cancelJob stops a job that was not cancelled in the queue, and returns the result; the state of a running job is
// Stopping.
func (r *ownership) cancelJob(id string, wasQueued bool) *wire.CancelResult {
	if wasQueued {
		return &wire.CancelResult{Job: id, InTime: true, State: string(fleet.Cancelled)}
	}
	if a, ok := r.attempts[id]; ok {
		if !a.isCancelled {
			a.isCancelled = true
			r.stopCancelled(a)
		}
		return &wire.CancelResult{Job: id, InTime: true, State: "Stopping"}
	}
	if o, ok := r.s.outcome(id); ok {
		return &wire.CancelResult{Job: id, InTime: o.GetKind() == string(fleet.Cancelled), State: o.GetKind()}
	}
	return &wire.CancelResult{Job: id, State: string(fleet.Unknown)}
}

func (r *ownership) stopCancelled(a *attempt) {
	if a.stop != nil {
		return
	}
	a.stop = &stopRequest{reason: "cancelled by the caller"}
	if a.isRunning {
		r.stopGang(a)
	}
}
