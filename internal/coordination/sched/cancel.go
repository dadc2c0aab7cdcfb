package sched

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Cancel withdraws jobs in one pass; a repeat of a cancellation changes nothing.
func (s *Sched) Cancel(ctx context.Context, q *wire.CancelRequest, reply *wire.CancelReply) error {
	r, err := s.ready(ctx)
	if err != nil {
		return err
	}
	var out []*wire.CancelResult
	err = r.do(ctx, func() { out = r.cancelAll(q.GetJobs()) })
	if err != nil {
		return err
	}
	reply.Results = out
	return nil
}

func (r *ownership) cancelAll(ids []string) []*wire.CancelResult {
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
		r.end(jobs[id], Outcome{Kind: fleet.Cancelled, Reason: "cancelled before it started"})
	}
	out := make([]*wire.CancelResult, 0, len(ids))
	for _, id := range ids {
		out = append(out, r.cancelResult(id, queued[id]))
	}
	return out
}

// cancelResult stops a running job; its state says that the stop is under way.
func (r *ownership) cancelResult(id string, queued bool) *wire.CancelResult {
	if queued {
		return &wire.CancelResult{Job: id, InTime: true, State: string(fleet.Cancelled)}
	}
	if a, ok := r.attempts[id]; ok {
		if !a.cancelled {
			a.cancelled = true
			r.stopForCancel(a)
		}
		return &wire.CancelResult{Job: id, InTime: true, State: "Stopping"}
	}
	if o, ok := r.s.outcome(id); ok {
		return &wire.CancelResult{Job: id, InTime: o.GetKind() == string(fleet.Cancelled), State: o.GetKind()}
	}
	return &wire.CancelResult{Job: id, State: string(fleet.Unknown)}
}

func (r *ownership) stopForCancel(a *attempt) {
	if a.stop != nil {
		return
	}
	a.stop = &stopRequest{reason: "cancelled by the caller"}
	if a.running {
		r.stopNow(a)
	}
}
