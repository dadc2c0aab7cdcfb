package guard

import "sync"

const (
	// smallBytes is the size up to which a loan may use the whole budget. Larger loans leave the rest of it free, so that
	// clients with large bodies cannot keep the others out.
	smallBytes = 64 << 10
	// largeNumerator and largeDenominator are the share of the budget that is open to loans above smallBytes.
	largeNumerator   = 3
	largeDenominator = 4
)

// Budget is the memory that all clients of a process together may make it hold.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Used returns the bytes that are lent.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// loan is the part of a budget that one connection holds. The mutex of the connection guards it.
type loan struct {
	budget *Budget
	held   int64
}

// resize changes the loan to n bytes. It changes nothing and returns false if the budget has no room for more.
func (l *loan) resize(n int64) bool {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if n > smallBytes {
		limit = b.limit / largeDenominator * largeNumerator
	}
	more := n - l.held
	if more > 0 && b.used+more > limit {
		return false
	}
	b.used += more
	l.held = n
	return true
}
