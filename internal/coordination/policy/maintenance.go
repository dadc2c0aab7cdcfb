package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
)

const (
	// maintenanceInterval is how often a host reads the members' offsets, and checks whether a planned change or a
	// snapshot is due.
	maintenanceInterval = time.Second
	// writeStagger is the delay per rank before a host writes a record that is due, so that normally only the first
	// live host writes it.
	writeStagger = 2 * time.Second
	// snapshotsPerRetention is the number of snapshots written during the retention time of the log.
	snapshotsPerRetention = 4
	// snapshotRetryDelay is the delay after a failed snapshot before the next attempt.
	snapshotRetryDelay = time.Minute
	// maintenanceTimeout limits the appends of one maintenance pass.
	maintenanceTimeout = 10 * time.Second
)

// Run tracks which configuration each host has in force, applies planned changes and writes snapshots, until ctx ends.
func (p *Policy) Run(ctx context.Context) error {
	for {
		if err := p.clock.Sleep(ctx, maintenanceInterval); err != nil {
			return fmt.Errorf("maintain configuration: %w", err)
		}
		p.inForce.observe(p.clock.Now(), p.members())
		p.maintain(ctx)
	}
}

func (p *Policy) maintain(ctx context.Context) {
	if p.state.Ready() != nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if err := p.applyPlanned(c); err != nil {
		p.scope.Counter("config_apply_errors").Inc(1)
	}
	if p.clock.Now().Before(p.earliestSnapshot) || !p.isSnapshotDue() {
		return
	}
	if err := p.writeSnapshot(c); err != nil {
		p.earliestSnapshot = p.clock.Now().Add(snapshotRetryDelay)
		p.scope.Counter("config_snapshot_errors").Inc(1)
	}
}

// applyPlanned appends a record for each planned change that is due, which puts it in force on all hosts.
func (p *Policy) applyPlanned(ctx context.Context) error {
	stagger := time.Duration(p.rank()) * writeStagger
	for id, ch := range p.state.Config().Planned {
		if p.clock.Now().Before(ch.From.Add(stagger)) {
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

// isSnapshotDue reports whether this host has to append a snapshot of the configuration before its records expire.
func (p *Policy) isSnapshotDue() bool {
	last := p.state.OldestRecordTime()
	if last.IsZero() {
		return false
	}
	stagger := time.Duration(p.rank()) * writeStagger
	return p.clock.Since(last) >= p.retention/snapshotsPerRetention+stagger
}

// writeSnapshot appends the configuration and the learned load to the log.
func (p *Policy) writeSnapshot(ctx context.Context) error {
	w, err := p.state.Snapshot()
	if err != nil {
		return err
	}
	// A forecast that cannot be encoded must not prevent the snapshot of the configuration.
	w.Forecast, _ = p.forecast()
	id := fmt.Sprintf("snapshot/%d", w.GetOffset())
	r := &wire.Record{Id: id, Body: &wire.Record_Snapshot{Snapshot: w}}
	if _, err := p.append(ctx, r); err != nil {
		return fmt.Errorf("append snapshot up to offset %d: %w", w.GetOffset(), err)
	}
	return nil
}
