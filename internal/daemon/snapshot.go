package daemon

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// takeSnapshot adds the configuration to the snapshot for a joining peer, since the log may no longer hold it.
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
	d.loadedSnapshot.Store(true)
	return nil
}

// onLogGap records that the log no longer holds records that this host has not read.
func (d *Daemon) onLogGap(from, first uint64) {
	d.firstLogOffset.Store(first)
	d.config.MarkGap(from, first)
}
