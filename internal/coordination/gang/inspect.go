package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// partStatus is the state of one part of an attempt, as reported by its worker.
type partStatus struct {
	// reports holds one entry per task of the part, nil for a task that the worker does not report.
	reports []*fleet.TaskReport
}

// isFullyStarted reports whether every task of the part was started.
func (s partStatus) isFullyStarted() bool {
	for _, r := range s.reports {
		if r == nil || !r.Started {
			return false
		}
	}
	return true
}

// hasAnyStarted reports whether at least one task of the part was started.
func (s partStatus) hasAnyStarted() bool {
	for _, r := range s.reports {
		if r != nil && r.Started {
			return true
		}
	}
	return false
}

// hasActive reports whether at least one task of the part runs or can still be started.
func (s partStatus) hasActive() bool {
	for _, r := range s.reports {
		if r != nil && isActive(r.State) {
			return true
		}
	}
	return false
}

func isActive(s fleet.TaskState) bool {
	return s == fleet.TaskPrepared || s == fleet.TaskRunning
}

// inspect requests a full report from the worker and returns the status of the part. The worker rejects commands of older
// terms from then on.
func (g *Gangs) inspect(ctx context.Context, t fleet.Term, p part) (partStatus, error) {
	g.stats.inspects.Inc(1)
	sent := g.clock.Now()
	var r fleet.Report
	err := g.command(ctx, g.bounds.CallTimeout, func(ctx context.Context) error {
		var err error
		r, err = g.workers.Inspect(ctx, p.addr, t)
		return err
	})
	if err != nil {
		return partStatus{}, fmt.Errorf("inspect worker %s: %w", p.worker, err)
	}
	g.Observe(p.worker, r, sent)
	return partStatusOf(r, p), nil
}

// refresh updates all runs on the worker from a new report. It uses a lease renewal when leases are configured, because
// the reply to one holds only changes and is cheaper than a full inspection.
func (g *Gangs) refresh(ctx context.Context, t fleet.Term, p part) error {
	if g.lease == 0 {
		_, err := g.inspect(ctx, t, p)
		return err
	}
	g.stats.renewals.Inc(1)
	sent := g.clock.Now()
	var r fleet.Report
	err := g.command(ctx, g.bounds.CallTimeout, func(ctx context.Context) error {
		var err error
		r, err = g.workers.Renew(ctx, p.addr, fleet.Lease{Term: t, Duration: g.lease})
		return err
	})
	if err != nil {
		return fmt.Errorf("refresh status of worker %s: %w", p.worker, err)
	}
	g.Observe(p.worker, r, sent)
	return nil
}

func partStatusOf(r fleet.Report, p part) partStatus {
	byRef := map[fleet.TaskRef]*fleet.TaskReport{}
	for i := range r.Tasks {
		byRef[r.Tasks[i].Task.Ref] = &r.Tasks[i]
	}
	s := partStatus{reports: make([]*fleet.TaskReport, len(p.refs))}
	for i, ref := range p.refs {
		s.reports[i] = byRef[ref]
	}
	return s
}
