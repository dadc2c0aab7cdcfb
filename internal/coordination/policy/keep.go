package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
)

const (
	// keepInterval is how often a host looks for members' offsets, planned changes and snapshots that are due.
	keepInterval = time.Second
	// turn is how much later each further host in rank would write the same record.
	turn = 2 * time.Second
	// snapshotsKept is how many snapshots are written in the time that the log keeps a record.
	snapshotsKept = 4
	// rewritePause is how long a snapshot that could not be written waits for the next attempt.
	rewritePause = time.Minute
	// keepBound ends an append of the keeper.
	keepBound = 10 * time.Second
)

// Run watches which host has what in force, puts planned changes in force, and rewrites snapshots, until ctx ends.
func (p *Policy) Run(ctx context.Context) error {
	for {
		if err := p.clock.Sleep(ctx, keepInterval); err != nil {
			return fmt.Errorf("keep configuration: %w", err)
		}
		p.inForce.observe(p.clock.Now(), p.members())
		p.keep(ctx)
	}
}

func (p *Policy) keep(ctx context.Context) {
	if p.state.Ready() != nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, keepBound)
	defer cancel()
	if err := p.applyPlanned(c); err != nil {
		p.scope.Counter("config_apply_errors").Inc(1)
	}
	if p.clock.Now().Before(p.rewriteAfter) || !p.isSnapshotDue() {
		return
	}
	if err := p.rewrite(c); err != nil {
		p.rewriteAfter = p.clock.Now().Add(rewritePause)
		p.scope.Counter("config_snapshot_errors").Inc(1)
	}
}

// applyPlanned asks the log to put planned changes in force whose time has come.
func (p *Policy) applyPlanned(ctx context.Context) error {
	late := time.Duration(p.rank()) * turn
	for id, ch := range p.state.Config().Planned {
		if p.clock.Now().Before(ch.From.Add(late)) {
			continue
		}
		r := config.NewRecord(config.Change{
			ID:       "apply/" + id,
			Operator: ch.Operator,
			Reason:   ch.Reason,
			Apply:    id,
		})
		if _, err := p.append(ctx, r); err != nil {
			return fmt.Errorf("apply planned change %s: %w", id, err)
		}
	}
	return nil
}

// isSnapshotDue reports whether this host has to repeat the configuration before records of it expire.
func (p *Policy) isSnapshotDue() bool {
	last := p.state.OldestRecordTime()
	if last.IsZero() {
		return false
	}
	late := time.Duration(p.rank()) * turn
	return p.clock.Since(last) >= p.retention/snapshotsKept+late
}

func (p *Policy) rewrite(ctx context.Context) error {
	w, err := p.state.Snapshot()
	if err != nil {
		return err
	}
	// A forecast that cannot be encoded must not keep the configuration from being kept.
	w.Forecast, _ = p.forecast()
	id := fmt.Sprintf("snapshot/%d", w.GetOffset())
	r := &wire.Record{Id: id, Body: &wire.Record_Snapshot{Snapshot: w}}
	if _, err := p.append(ctx, r); err != nil {
		return fmt.Errorf("rewrite snapshot up to offset %d: %w", w.GetOffset(), err)
	}
	return nil
}
