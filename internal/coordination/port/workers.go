package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// Errors of a worker, which adapters return wrapped. After any other error the effect of the call is unknown.
var (
	// ErrFenced says that the worker has seen a higher term.
	ErrFenced = errors.New("worker holds a higher term")
	// ErrNoRoom says that the worker has no slot or not enough resources for the task.
	ErrNoRoom = errors.New("worker has no room for the task")
	// ErrNoTask says that the worker does not know the task.
	ErrNoTask = errors.New("worker does not know the task")
)

// Workers is the client of the workers. Calls carry a term as a fencing token: a worker refuses terms lower than the highest
// it has seen.
type Workers struct {
	// Renew extends the lease of the worker and returns its current report, which does not contain answers.
	Renew func(ctx context.Context, w netip.AddrPort, l fleet.Lease) (fleet.Report, error)
	// Inspect raises the term of the worker, which fences lower ones, and returns a report of every task it knows.
	Inspect func(ctx context.Context, w netip.AddrPort, t fleet.Term) (fleet.Report, error)
	// Prepare reserves slots and resources for tasks that do not run yet; it reserves all of them or none.
	Prepare func(ctx context.Context, w netip.AddrPort, t fleet.Term, ts []fleet.Task) error
	// Start runs prepared tasks; it is idempotent.
	Start func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error
	// Stop ends tasks, after a checkpoint if grace is not zero; it is idempotent.
	Stop func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef, grace time.Duration) error
	// Throttle limits a running task to a share of its processors between 0 and 1.
	Throttle func(ctx context.Context, w netip.AddrPort, t fleet.Term, r fleet.TaskRef, share float64) error
	// Answer returns the answer of a completed task.
	Answer func(ctx context.Context, w netip.AddrPort, r fleet.TaskRef) ([]byte, error)
	// Forget allows the worker to delete tasks that have ended.
	Forget func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error
}
