package once

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrNoClaim says that a job holds no claim for its key.
var ErrNoClaim = errors.New("job holds no claim")

// Claimed is what is known of a key.
type Claimed struct {
	Organisation string
	Key          string
	Job          string
	Attempt      int
	Term         fleet.Term
	At           time.Time
	Workers      []string
	// Outcome is nil until the work has ended.
	Outcome *wire.Outcome
	// Free is set when the claimed attempt never ran, so that the key can be claimed anew.
	Free bool
}

// Find returns what is known of a key.
func (b *Book) Find(organisation, key string) (Claimed, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[idOf(organisation, key)]
	if !ok {
		return Claimed{}, false
	}
	return claimedOf(e), true
}

// FindOutcome returns the outcome of a job that holds a key, if that has ended.
func (b *Book) FindOutcome(job string) (*wire.Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.claim.GetJob() == job && e.outcome != nil && !e.isFree() {
			return e.outcome.GetOutcome(), true
		}
	}
	return nil, false
}

// FindOpen returns the claims whose outcome is not known, which a new owner resolves.
func (b *Book) FindOpen() []Claimed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Claimed
	for _, e := range b.entries {
		if e.outcome == nil {
			out = append(out, claimedOf(e))
		}
	}
	return out
}

func claimedOf(e *entry) Claimed {
	return Claimed{
		Organisation: e.claim.GetOrganisation(),
		Key:          e.claim.GetKey(),
		Job:          e.claim.GetJob(),
		Attempt:      int(e.claim.GetAttempt()),
		Term:         fleetTerm(e.claim.GetTerm()),
		At:           time.UnixMilli(e.claim.GetClaimedUnixMillis()),
		Workers:      e.claim.GetWorkers(),
		Outcome:      e.outcome.GetOutcome(),
		Free:         e.isFree(),
	}
}

// PutOutcome keeps the first outcome of a claimed job for all repeats of its key; Refused frees the key.
//
// An answer above Bounds.Answer is kept by length and digest only.
func (b *Book) PutOutcome(ctx context.Context, t fleet.Term, j fleet.Job, o *wire.Outcome) error {
	c, err := b.claimFor(j)
	if err != nil {
		return fmt.Errorf("outcome of job %s: %w", j.ID, err)
	}
	k := proto.Clone(o).(*wire.Outcome)
	if len(k.GetAnswer()) > b.bounds.Answer {
		k.Answer = nil
	}
	if k.GetFinishedUnixMillis() == 0 {
		k.FinishedUnixMillis = b.clock.Now().UnixMilli()
	}
	return b.end(ctx, t, c, k)
}

// Release gives back the claim of an attempt that is known not to have started and never to start.
func (b *Book) Release(ctx context.Context, t fleet.Term, j fleet.Job) error {
	c, err := b.claimFor(j)
	if err != nil {
		return fmt.Errorf("release key of job %s: %w", j.ID, err)
	}
	return b.end(ctx, t, c, notRun(c, b.clock.Now()))
}

func notRun(c *wire.OnceClaim, at time.Time) *wire.Outcome {
	return &wire.Outcome{
		Job:                c.GetJob(),
		Attempt:            c.GetAttempt(),
		Kind:               string(fleet.Refused),
		Reason:             "the attempt did not start",
		FinishedUnixMillis: at.UnixMilli(),
	}
}

func (b *Book) claimFor(j fleet.Job) (*wire.OnceClaim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[idOf(j.Organisation, j.Key)]
	if !ok || e.claim.GetJob() != j.ID || (j.Attempt != 0 && int(e.claim.GetAttempt()) != j.Attempt) {
		return nil, errors.WithStack(ErrNoClaim)
	}
	return e.claim, nil
}

// end keeps the outcome of a claim here and with the peers, and queues it for the log.
func (b *Book) end(ctx context.Context, t fleet.Term, c *wire.OnceClaim, o *wire.Outcome) error {
	x := &wire.OnceOutcome{
		Key:          c.GetKey(),
		Organisation: c.GetOrganisation(),
		Domain:       c.GetDomain(),
		Outcome:      o,
	}
	b.mu.Lock()
	b.acceptOutcome(x)
	b.mu.Unlock()
	_, err := b.spread(ctx, &wire.ClaimRequest{Term: termOf(t), Outcomes: []*wire.OnceOutcome{x}})
	if err != nil {
		return fmt.Errorf("pass outcome of job %s to peers: %w", o.GetJob(), err)
	}
	return nil
}
