package keep

import (
	"context"
	"fmt"
	"sync"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

// copy hands a request to all live peers and returns once one of them has taken it.
func (k *Keeper) copy(ctx context.Context, q *wire.KeepRequest) error {
	ps := k.peers()
	if len(ps) == 0 {
		return k.copyToLog(q)
	}
	if k.copyOff {
		return nil
	}
	results := make(chan error, len(ps))
	for _, p := range ps {
		go func() { results <- k.copyTo(ctx, p, q) }()
	}
	var last error
	for range ps {
		err := <-results
		if err == nil || errors.Is(err, port.ErrFenced) {
			return err
		}
		last = err
	}
	k.scope.Counter("keep_copies_failed").Inc(1)
	return fmt.Errorf("%w: %w", ErrNoCopy, last)
}

// copyToLog queues the jobs of a host that is alone for the log at once.
func (k *Keeper) copyToLog(q *wire.KeepRequest) error {
	if len(q.GetJobs()) == 0 {
		return nil
	}
	now := k.clock.Now()
	k.mu.Lock()
	for _, j := range q.GetJobs() {
		if e, ok := k.entries[j.GetId()]; ok {
			e.written = now
		}
	}
	k.mu.Unlock()
	return k.queueBatch(fleetTerm(q.GetTerm()), &wire.JobBatch{Domain: k.domain, Accepted: q.GetJobs()})
}

func (k *Keeper) copyTo(ctx context.Context, p Peer, q *wire.KeepRequest) error {
	// The copies at the other peers go on when the first has answered.
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), callBound)
	defer cancel()
	if err := k.call.Call(c, p.Addr, "Peer.Keep", q, &wire.Empty{}); err != nil {
		return fmt.Errorf("copy to %s: %w", p.Name, err)
	}
	return nil
}

// ServeKeep holds jobs and outcomes for the owner.
func (k *Keeper) ServeKeep(_ context.Context, q *wire.KeepRequest, _ *wire.Empty) error {
	return k.take(q)
}

// ServeKept returns all that this host holds.
func (k *Keeper) ServeKept(_ context.Context, _ *wire.Empty, r *wire.KeptReply) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		if e.outcome != nil {
			r.Outcomes = append(r.Outcomes, e.outcome)
			continue
		}
		r.Jobs = append(r.Jobs, e.job)
	}
	return nil
}

// fetch merges what one peer holds.
func (k *Keeper) fetch(ctx context.Context, p Peer) error {
	c, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	var r wire.KeptReply
	if err := k.call.Call(c, p.Addr, "Peer.Kept", &wire.Empty{}, &r); err != nil {
		return fmt.Errorf("fetch what %s keeps: %w", p.Name, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range r.GetOutcomes() {
		k.takeOutcome(o)
	}
	for _, j := range r.GetJobs() {
		if err := k.takeJob(j); err != nil {
			return err
		}
	}
	return nil
}

// fetchAll merges what all live peers hold; the error names the last that did not answer.
func (k *Keeper) fetchAll(ctx context.Context) error {
	var mu sync.Mutex
	var last error
	var g sync.WaitGroup
	for _, p := range k.peers() {
		g.Go(func() {
			if err := k.fetch(ctx, p); err != nil {
				mu.Lock()
				last = err
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return last
}
