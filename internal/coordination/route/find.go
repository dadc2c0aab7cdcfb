package route

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// FindJobs lists the jobs of all reachable failure domains, and the names of the unreachable ones.
func (r *Router) FindJobs(ctx context.Context, q *wire.JobsRequest) ([]*wire.JobStatus, []string) {
	var out []*wire.JobStatus
	var missing []string
	for _, d := range r.domains {
		var reply wire.JobsReply
		if err := r.query(ctx, d, "Owner.Jobs", q, &reply); err != nil {
			missing = append(missing, d)
			continue
		}
		out = append(out, reply.GetJobs()...)
	}
	return out, missing
}

// FindWorkers returns the workers of a failure domain as known to its owner.
func (r *Router) FindWorkers(ctx context.Context, domain string) (*wire.WorkersReply, error) {
	var reply wire.WorkersReply
	if err := r.query(ctx, domain, "Owner.Workers", &wire.Empty{}, &reply); err != nil {
		return nil, fmt.Errorf("workers of %s: %w", domain, err)
	}
	return &reply, nil
}
