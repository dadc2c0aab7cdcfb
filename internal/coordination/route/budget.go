package route

import (
	"sync"
	"time"
)

const (
	// retryRatio is the share of calls that may be retries once the burst is used up.
	retryRatio = 0.2
	retryBurst = 50
)

// Budget bounds retries to a share of the calls, so that retries do not multiply an overload.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full burst.
func NewBudget() *Budget {
	return &Budget{tokens: retryBurst}
}

// Earn credits one first call.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Spend reports whether a retry is allowed, and takes it from the budget.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 800 * time.Millisecond
)

// backoff returns the pause before try n, counted from 0; random is between 0 and 1.
func backoff(n int, random float64) time.Duration {
	d := min(backoffFirst<<min(n, 10), backoffMost)
	return d/2 + time.Duration(random*float64(d)/2)
}
