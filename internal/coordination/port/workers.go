package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// Errors of a worker, which an adapter returns wrapped; any other error leaves the effect unknown.
var (
	// ErrFenced says that the worker has seen a higher term.
	ErrFenced = errors.New("worker holds a higher term")
	// ErrNoRoom says that the worker cannot hold the task.
	ErrNoRoom = errors.New("worker has no room for the task")
	// ErrNoTask says that the worker does not know the task.
	ErrNoTask = errors.New("worker does not know the task")
)

// Workers commands workers; each call carries a term, and a worker refuses lower terms than it has seen.
type Workers struct {
	// Renew extends the lease of the worker and returns its current report, without answers.
	Renew func(ctx context.Context, w netip.AddrPort, l fleet.Lease) (fleet.Report, error)
	// Inspect raises the worker to the term, which fences older ones off, and reports every task it knows.
	Inspect func(ctx context.Context, w netip.AddrPort, t fleet.Term) (fleet.Report, error)
	// Prepare reserves slot and resources for tasks that do not run yet; it takes all of them or none.
	Prepare func(ctx context.Context, w netip.AddrPort, t fleet.Term, ts []fleet.Task) error
	// Start runs prepared tasks; repeating it changes nothing.
	Start func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error
	// Stop ends tasks, after a checkpoint if there is grace; repeating it changes nothing.
	Stop func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef, grace time.Duration) error
	// Throttle limits a running task to a share of its processors between 0 and 1.
	Throttle func(ctx context.Context, w netip.AddrPort, t fleet.Term, r fleet.TaskRef, share float64) error
	// Answer returns the answer of a task that is done.
	Answer func(ctx context.Context, w netip.AddrPort, r fleet.TaskRef) ([]byte, error)
	// Forget lets the worker drop tasks that ended.
	Forget func(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error
}
