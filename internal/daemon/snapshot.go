package daemon

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// takeSnapshot hands a joining peer the configuration, which the log may no longer hold.
func (d *Daemon) takeSnapshot(r *wire.SnapshotReply) error {
	s, err := d.config.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot of configuration: %w", err)
	}
	r.Config, err = proto.Marshal(s)
	if err != nil {
		return fmt.Errorf("marshal snapshot of configuration: %w", err)
	}
	return nil
}

func (d *Daemon) loadSnapshot(r *wire.SnapshotReply) error {
	var s wire.ConfigSnapshot
	if err := proto.Unmarshal(r.GetConfig(), &s); err != nil {
		return fmt.Errorf("parse snapshot of configuration: %w", err)
	}
	if err := d.config.Load(&s); err != nil {
		return fmt.Errorf("load snapshot of configuration: %w", err)
	}
	d.skippedLog.Store(true)
	return nil
}

// noteGap remembers that the log begins after records that nobody here has read.
func (d *Daemon) noteGap(from, first uint64) {
	d.logFirst.Store(first)
	d.config.MarkGap(from, first)
}
