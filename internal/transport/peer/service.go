package peer

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

// Handlers are the functions that a host serves for its peers; a call to one that is nil returns an error.
type Handlers struct {
	Heartbeat func(context.Context, *wire.Heartbeat, *wire.HeartbeatReply) error
	Digest    func(context.Context, *wire.Digest, *wire.DigestReply) error
	Records   func(context.Context, *wire.RecordsRequest, *wire.RecordsReply) error
	Snapshot  func(context.Context, *wire.Empty, *wire.SnapshotReply) error
	Keep      func(context.Context, *wire.KeepRequest, *wire.Empty) error
	Kept      func(context.Context, *wire.Empty, *wire.KeptReply) error
	Claim     func(context.Context, *wire.ClaimRequest, *wire.ClaimReply) error
	Claims    func(context.Context, *wire.ClaimsRequest, *wire.ClaimsReply) error
	Submit    func(context.Context, *wire.SubmitRequest, *wire.SubmitReply) error
	Await     func(context.Context, *wire.AwaitRequest, *wire.AwaitReply) error
	Cancel    func(context.Context, *wire.CancelRequest, *wire.CancelReply) error
	Ack       func(context.Context, *wire.AckRequest, *wire.Empty) error
	Jobs      func(context.Context, *wire.JobsRequest, *wire.JobsReply) error
	Workers   func(context.Context, *wire.Empty, *wire.WorkersReply) error
	Lead      func(context.Context, *wire.Empty, *wire.LeadState) error
	Take      func(context.Context, *wire.TakeRequest, *wire.TakeReply) error
}

var errMethodNotServed = errors.New("this host does not serve this method")

// serve calls a handler if there is one.
func serve[Q, R any](ctx context.Context, f func(context.Context, Q, R) error, q Q, r R) error {
	if f == nil {
		return errMethodNotServed
	}
	return f(ctx, q, r)
}

// Peer is the net/rpc service that every host serves for the other hosts.
type Peer struct {
	ctx context.Context
	h   Handlers
}

// Ping answers immediately, so that a caller can distinguish an unresponsive connection from a slow call.
func (p *Peer) Ping(_ *wire.Empty, _ *wire.Empty) error {
	return nil
}

// Heartbeat handles the heartbeat of another host of the failure domain.
func (p *Peer) Heartbeat(q *wire.Heartbeat, r *wire.HeartbeatReply) error {
	return serve(p.ctx, p.h.Heartbeat, q, r)
}

// Digest handles the digest of another failure domain and returns that of the own one.
func (p *Peer) Digest(q *wire.Digest, r *wire.DigestReply) error {
	return serve(p.ctx, p.h.Digest, q, r)
}

// Records returns log records that this host has read.
func (p *Peer) Records(q *wire.RecordsRequest, r *wire.RecordsReply) error {
	return serve(p.ctx, p.h.Records, q, r)
}

// Snapshot returns the state that this host has built from the log.
func (p *Peer) Snapshot(q *wire.Empty, r *wire.SnapshotReply) error {
	return serve(p.ctx, p.h.Snapshot, q, r)
}

// Keep stores replicas of jobs and outcomes for the owner.
func (p *Peer) Keep(q *wire.KeepRequest, r *wire.Empty) error {
	return serve(p.ctx, p.h.Keep, q, r)
}

// Kept returns the replicas of jobs and outcomes that this host holds.
func (p *Peer) Kept(q *wire.Empty, r *wire.KeptReply) error {
	return serve(p.ctx, p.h.Kept, q, r)
}

// Claim stores replicas of claims of idempotency keys for the owner.
func (p *Peer) Claim(q *wire.ClaimRequest, r *wire.ClaimReply) error {
	return serve(p.ctx, p.h.Claim, q, r)
}

// Claims returns the claims of idempotency keys that this host holds.
func (p *Peer) Claims(q *wire.ClaimsRequest, r *wire.ClaimsReply) error {
	return serve(p.ctx, p.h.Claims, q, r)
}

// Take serves a caller's request that another host forwards because it cannot serve it itself.
func (p *Peer) Take(q *wire.TakeRequest, r *wire.TakeReply) error {
	return serve(p.ctx, p.h.Take, q, r)
}

// Owner is the net/rpc service that the owner of a failure domain serves.
type Owner struct {
	ctx context.Context
	h   Handlers
}

// Submit queues a job.
func (o *Owner) Submit(q *wire.SubmitRequest, r *wire.SubmitReply) error {
	return serve(o.ctx, o.h.Submit, q, r)
}

// Await waits for the end of a job.
func (o *Owner) Await(q *wire.AwaitRequest, r *wire.AwaitReply) error {
	return serve(o.ctx, o.h.Await, q, r)
}

// Cancel cancels jobs.
func (o *Owner) Cancel(q *wire.CancelRequest, r *wire.CancelReply) error {
	return serve(o.ctx, o.h.Cancel, q, r)
}

// Ack acknowledges answers that the caller has received, so that the owner may delete them.
func (o *Owner) Ack(q *wire.AckRequest, r *wire.Empty) error {
	return serve(o.ctx, o.h.Ack, q, r)
}

// Jobs lists jobs.
func (o *Owner) Jobs(q *wire.JobsRequest, r *wire.JobsReply) error {
	return serve(o.ctx, o.h.Jobs, q, r)
}

// Lead tells the state of this host's term as owner of a deployment's jobs.
func (o *Owner) Lead(q *wire.Empty, r *wire.LeadState) error {
	return serve(o.ctx, o.h.Lead, q, r)
}

// Workers lists the workers in the owner's ledger.
func (o *Owner) Workers(q *wire.Empty, r *wire.WorkersReply) error {
	return serve(o.ctx, o.h.Workers, q, r)
}
