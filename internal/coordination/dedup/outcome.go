package dedup

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrNoClaim is returned when a job holds no claim on its key.
var ErrNoClaim = errors.New("job holds no claim")

// Claimed describes the claim on a key.
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
	// Free is set when the claimed attempt never ran, so that the key can be claimed again.
	Free bool
}

// Find returns the claim on a key, if there is one.
func (l *Ledger) Find(organisation, key string) (Claimed, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[keyOf(organisation, key)]
	if !ok {
		return Claimed{}, false
	}
	return newClaimed(e), true
}

// FindOutcome returns the outcome of a job that holds a key, if the job has ended.
func (l *Ledger) FindOutcome(job string) (*wire.Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.claim.GetJob() == job && e.outcome != nil && !e.isFree() {
			return e.outcome.GetOutcome(), true
		}
	}
	return nil, false
}

// FindOpen returns the claims without an outcome; a new owner has to resolve them.
func (l *Ledger) FindOpen() []Claimed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Claimed
	for _, e := range l.entries {
		if e.outcome == nil {
			out = append(out, newClaimed(e))
		}
	}
	return out
}

func newClaimed(e *entry) Claimed {
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

// PutOutcome stores the outcome of a claimed job, which answers all repeats of its key; Refused frees the key.
//
// The first outcome counts, except that a definite one replaces Unknown. Of an answer above Bounds.Answer only length and
// digest are stored.
func (l *Ledger) PutOutcome(ctx context.Context, t fleet.Term, j fleet.Job, o *wire.Outcome) error {
	c, err := l.findClaim(j)
	if err != nil {
		return fmt.Errorf("outcome of job %s: %w", j.ID, err)
	}
	k := proto.Clone(o).(*wire.Outcome)
	if len(k.GetAnswer()) > l.bounds.Answer {
		k.Answer = nil
	}
	if k.GetFinishedUnixMillis() == 0 {
		k.FinishedUnixMillis = l.clock.Now().UnixMilli()
	}
	return l.recordOutcome(ctx, t, c, k)
}

// Release frees the key of an attempt that is known not to have started and that never will.
func (l *Ledger) Release(ctx context.Context, t fleet.Term, j fleet.Job) error {
	c, err := l.findClaim(j)
	if err != nil {
		return fmt.Errorf("release key of job %s: %w", j.ID, err)
	}
	return l.recordOutcome(ctx, t, c, notRunOutcome(c, l.clock.Now()))
}

func notRunOutcome(c *wire.OnceClaim, at time.Time) *wire.Outcome {
	return &wire.Outcome{
		Job:                c.GetJob(),
		Attempt:            c.GetAttempt(),
		Kind:               string(fleet.Refused),
		Reason:             "the attempt did not start",
		FinishedUnixMillis: at.UnixMilli(),
	}
}

func (l *Ledger) findClaim(j fleet.Job) (*wire.OnceClaim, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[keyOf(j.Organisation, j.Key)]
	if !ok || e.claim.GetJob() != j.ID || (j.Attempt != 0 && int(e.claim.GetAttempt()) != j.Attempt) {
		return nil, errors.WithStack(ErrNoClaim)
	}
	return e.claim, nil
}

// recordOutcome stores the outcome of a claim on this host and its peers; Tick writes it to the log.
func (l *Ledger) recordOutcome(ctx context.Context, t fleet.Term, c *wire.OnceClaim, o *wire.Outcome) error {
	x := &wire.OnceOutcome{
		Key:          c.GetKey(),
		Organisation: c.GetOrganisation(),
		Domain:       c.GetDomain(),
		Outcome:      o,
	}
	l.mu.Lock()
	l.acceptOutcome(x)
	l.mu.Unlock()
	_, err := l.broadcast(ctx, &wire.ClaimRequest{Term: termOf(t), Outcomes: []*wire.OnceOutcome{x}})
	if err != nil {
		return fmt.Errorf("replicate outcome of job %s to peers: %w", o.GetJob(), err)
	}
	return nil
}
