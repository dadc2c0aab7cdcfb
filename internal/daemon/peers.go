package daemon

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/transport/peer"
)

// peerHandlers returns the handlers for the calls of peers.
func (d *Daemon) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: d.members.Heartbeat,
		Digest:    d.members.Digest,
		Records:   d.stream.Records,
		Snapshot:  d.stream.Snapshot,
		Keep:      d.replica.ServeKeep,
		Kept:      d.replica.ServeKept,
		Claim:     d.ledger.ServeClaim,
		Claims:    d.ledger.ServeClaims,
		Submit:    d.sched.Submit,
		Await:     d.sched.Await,
		Cancel:    d.sched.Cancel,
		Ack:       d.sched.Ack,
		Jobs:      d.sched.Jobs,
		Workers:   d.sched.Workers,
	}
}

func (d *Daemon) findWorkers(ctx context.Context) (*wire.WorkersReply, error) {
	return d.router.FindWorkers(ctx, d.settings.Host.Domain)
}
