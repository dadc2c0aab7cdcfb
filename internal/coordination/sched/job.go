package sched

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Jobs lists the jobs that have not ended.
func (s *Scheduler) Jobs(ctx context.Context, q *wire.JobsRequest, reply *wire.JobsReply) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	return r.runInLoop(ctx, func() {
		for _, x := range r.planner.FindStatus() {
			if len(reply.Jobs) >= int(q.GetLimit()) {
				return
			}
			if matchesRequest(q, x) {
				reply.Jobs = append(reply.Jobs, statusToWire(x))
			}
		}
	})
}

func matchesRequest(q *wire.JobsRequest, x plan.Status) bool {
	return (q.GetOrganisation() == "" || q.GetOrganisation() == x.Job.Organisation) &&
		(q.GetProfile() == "" || q.GetProfile() == x.Job.Profile) &&
		(q.GetState() == "" || q.GetState() == x.State)
}

// Ack drops the answers whose receipt callers have acknowledged.
func (s *Scheduler) Ack(ctx context.Context, q *wire.AckRequest, _ *wire.Empty) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	return s.replica.Ack(ctx, r.term, q.GetJobs())
}
