package client

import (
	"context"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

const (
	// retryBurst is the number of retries that all calls of a client may make without a wait, after a time without retries.
	retryBurst = 20
	// retryInterval is the time in which the budget regains one retry.
	retryInterval = 100 * time.Millisecond
)

// retryBudget is a token bucket for the retries of all calls, so that a client does not multiply its load while hosts are down.
type retryBudget struct {
	clock clock.Clock
	mu    sync.Mutex
	next  time.Time
}

func newRetryBudget(c clock.Clock) *retryBudget {
	return &retryBudget{clock: c}
}

// wait takes one retry from the budget and waits until it is due.
func (b *retryBudget) wait(ctx context.Context) error {
	b.mu.Lock()
	now := b.clock.Now()
	if full := now.Add(-retryBurst * retryInterval); b.next.Before(full) {
		b.next = full
	}
	b.next = b.next.Add(retryInterval)
	wait := b.next.Sub(now)
	b.mu.Unlock()
	return b.clock.Sleep(ctx, wait)
}
