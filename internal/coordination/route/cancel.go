package route

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// Cancel cancels jobs of any failure domains; the order of the results is unspecified.
func (r *Router) Cancel(ctx context.Context, ids []string) ([]*wire.CancelResult, error) {
	groups, err := r.groupByDomain(ids)
	if err != nil {
		return nil, err
	}
	var out []*wire.CancelResult
	for d, g := range groups {
		var reply wire.CancelReply
		if err := r.callWithRetry(ctx, d, "Owner.Cancel", &wire.CancelRequest{Jobs: g}, &reply); err != nil {
			return out, fmt.Errorf("cancel in %s: %w", d, err)
		}
		out = append(out, reply.GetResults()...)
	}
	return out, nil
}

// Ack tells the owners that the caller has received the answers of jobs.
func (r *Router) Ack(ctx context.Context, ids []string) error {
	groups, err := r.groupByDomain(ids)
	if err != nil {
		return err
	}
	for d, g := range groups {
		if err := r.callWithRetry(ctx, d, "Owner.Ack", &wire.AckRequest{Jobs: g}, &wire.Empty{}); err != nil {
			return fmt.Errorf("acknowledge in %s: %w", d, err)
		}
	}
	return nil
}

func (r *Router) groupByDomain(ids []string) (map[string][]string, error) {
	out := map[string][]string{}
	for _, id := range ids {
		d, err := domainOf(id, r.domains)
		if err != nil {
			return nil, err
		}
		out[d] = append(out[d], id)
	}
	return out, nil
}
