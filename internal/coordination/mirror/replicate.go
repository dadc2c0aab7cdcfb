package mirror

import (
	"context"
	"fmt"
	"sync"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

// replicate sends a request to all live peers and returns once one of them has stored it.
func (r *Replica) replicate(ctx context.Context, q *wire.KeepRequest) error {
	ps := r.peers()
	if len(ps) == 0 {
		return r.queueJobs(q)
	}
	if r.replicationOff {
		return nil
	}
	results := make(chan error, len(ps))
	for _, p := range ps {
		go func() { results <- r.sendTo(ctx, p, q) }()
	}
	var last error
	for range ps {
		err := <-results
		if err == nil || errors.Is(err, port.ErrFenced) {
			return err
		}
		last = err
	}
	r.scope.Counter("keep_copies_failed").Inc(1)
	return fmt.Errorf("%w: %w", ErrNoCopy, last)
}

// queueJobs queues the jobs of a host without live peers for the log immediately.
func (r *Replica) queueJobs(q *wire.KeepRequest) error {
	if len(q.GetJobs()) == 0 {
		return nil
	}
	now := r.clock.Now()
	r.mu.Lock()
	for _, j := range q.GetJobs() {
		if e, ok := r.entries[j.GetId()]; ok {
			e.queuedAt = now
		}
	}
	r.mu.Unlock()
	return r.queueBatch(fleetTerm(q.GetTerm()), &wire.JobBatch{Domain: r.domain, Accepted: q.GetJobs()})
}

func (r *Replica) sendTo(ctx context.Context, p Peer, q *wire.KeepRequest) error {
	// The calls to the other peers continue after the first has answered.
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancel()
	if err := r.call.Call(c, p.Addr, "Peer.Keep", q, &wire.Empty{}); err != nil {
		return fmt.Errorf("send to host %s: %w", p.Name, err)
	}
	return nil
}

// ServeKeep stores jobs and outcomes for the owner.
func (r *Replica) ServeKeep(_ context.Context, q *wire.KeepRequest, _ *wire.Empty) error {
	return r.apply(q)
}

// ServeKept returns all jobs and outcomes of this host.
func (r *Replica) ServeKept(_ context.Context, _ *wire.Empty, reply *wire.KeptReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.outcome != nil {
			reply.Outcomes = append(reply.Outcomes, e.outcome)
			continue
		}
		reply.Jobs = append(reply.Jobs, e.job)
	}
	return nil
}

// fetch merges the jobs and outcomes of one peer.
func (r *Replica) fetch(ctx context.Context, p Peer) error {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply wire.KeptReply
	if err := r.call.Call(c, p.Addr, "Peer.Kept", &wire.Empty{}, &reply); err != nil {
		return fmt.Errorf("fetch jobs from host %s: %w", p.Name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range reply.GetOutcomes() {
		r.applyOutcome(o)
	}
	for _, j := range reply.GetJobs() {
		if err := r.applyJob(j); err != nil {
			return err
		}
	}
	return nil
}

// fetchPeers merges the jobs and outcomes of all live peers; on failures it returns the error of the last one.
func (r *Replica) fetchPeers(ctx context.Context) error {
	var mu sync.Mutex
	var last error
	var g sync.WaitGroup
	for _, p := range r.peers() {
		g.Go(func() {
			if err := r.fetch(ctx, p); err != nil {
				mu.Lock()
				last = err
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return last
}
