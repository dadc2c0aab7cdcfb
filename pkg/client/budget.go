package client

import (
	"context"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

const (
	// retryBurst is the number of retries that may follow each other at once, over all calls of a client.
	retryBurst = 20
	// retryInterval is the time after which one more retry is allowed.
	retryInterval = 100 * time.Millisecond
)

// budget limits the rate of retries, so that a client does not multiply its load while the hosts are down.
type budget struct {
	clock clock.Clock
	mu    sync.Mutex
	next  time.Time
}

func newBudget(c clock.Clock) *budget {
	return &budget{clock: c}
}

// take waits until a retry is allowed.
func (b *budget) take(ctx context.Context) error {
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
