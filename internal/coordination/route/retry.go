package route

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries allowed per call once the burst is used up.
	retryRatio = 0.2
	// retryBurst is the maximum number of retries that unused budget can accumulate.
	retryBurst = 50
)

// RetryBudget limits retries to a share of the calls, so that retries do not amplify an overload.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows a full burst.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryBurst}
}

// Deposit adds the retries that one call is credited with.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// TryWithdraw takes one retry from the budget, and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 800 * time.Millisecond
)

// backoff returns the delay before retry n, counted from 0: exponential with jitter. random is between 0 and 1.
func backoff(n int, random float64) time.Duration {
	d := min(backoffBase<<min(n, 10), backoffMax)
	return d/2 + time.Duration(random*float64(d)/2)
}
