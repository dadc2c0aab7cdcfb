package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// standing is what a worker says of its part of an attempt.
type standing struct {
	// reports holds one entry for each task of the part; nil when the worker does not know the task.
	reports []*fleet.TaskReport
}

// isStarted reports whether all tasks of the part run or ran.
func (s standing) isStarted() bool {
	for _, r := range s.reports {
		if r == nil || !r.Started {
			return false
		}
	}
	return true
}

// hasStarted reports whether any task of the part ever ran.
func (s standing) hasStarted() bool {
	for _, r := range s.reports {
		if r != nil && r.Started {
			return true
		}
	}
	return false
}

// isActive reports whether a task of the part runs or still can be started.
func (s standing) isActive() bool {
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

// ask inspects the worker under the term, which fences older terms off, and returns the standing of the part.
func (g *Gangs) ask(ctx context.Context, t fleet.Term, p part) (standing, error) {
	g.stats.inspects.Inc(1)
	sent := g.clock.Now()
	var r fleet.Report
	err := g.command(ctx, g.bounds.Call, func(ctx context.Context) error {
		var err error
		r, err = g.workers.Inspect(ctx, p.addr, t)
		return err
	})
	if err != nil {
		return standing{}, fmt.Errorf("inspect worker %s: %w", p.worker, err)
	}
	g.Observe(p.worker, r, sent)
	return standingOf(r, p), nil
}

// look takes a cheap report of the worker into all runs on it.
func (g *Gangs) look(ctx context.Context, t fleet.Term, p part) error {
	if g.lease == 0 {
		_, err := g.ask(ctx, t, p)
		return err
	}
	g.stats.renewals.Inc(1)
	sent := g.clock.Now()
	var r fleet.Report
	err := g.command(ctx, g.bounds.Call, func(ctx context.Context) error {
		var err error
		r, err = g.workers.Renew(ctx, p.addr, fleet.Lease{Term: t, Duration: g.lease})
		return err
	})
	if err != nil {
		return fmt.Errorf("look at worker %s: %w", p.worker, err)
	}
	g.Observe(p.worker, r, sent)
	return nil
}

func standingOf(r fleet.Report, p part) standing {
	by := map[fleet.TaskRef]*fleet.TaskReport{}
	for i := range r.Tasks {
		by[r.Tasks[i].Task.Ref] = &r.Tasks[i]
	}
	s := standing{reports: make([]*fleet.TaskReport, len(p.refs))}
	for i, ref := range p.refs {
		s.reports[i] = by[ref]
	}
	return s
}
