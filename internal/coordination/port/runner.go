package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// Errors of a runner; after any other error but ErrUnsent an order may have been carried out, or may be later.
var (
	// ErrOther says that another worker answered at the address.
	ErrOther = errors.New("another worker is at the address")
	// ErrLate says that the lease of a start was over when it arrived.
	ErrLate = errors.New("lease of the start is over")
	// ErrOldRun says that the worker has seen this run, or a higher one, end.
	ErrOldRun = errors.New("run has ended there before")
	// ErrUnhealthy says that the worker answered and did nothing.
	ErrUnhealthy = errors.New("worker is unhealthy")
)

// RunRef names one run of a task; occurrences of its job count from 0.
type RunRef struct {
	Job        string
	Occurrence int
	Step       int
	Task       int
	Run        int
}

// Runner is a worker that runs tasks under leases, with the time on its own clock.
type Runner struct {
	Worker fleet.Worker
	// IsDraining is set while the worker leaves.
	IsDraining bool
}

// RunStart asks for a task to be started; its lease ends at Until on the worker's clock.
type RunStart struct {
	Ref        RunRef
	Spec       string
	Until      time.Duration
	Token      int64
	Checkpoint string
	// Worker is the one that is meant; another one at its address refuses.
	Worker string
}

// RunHold extends the lease of all that runs on a worker and asks for its ends.
type RunHold struct {
	Token int64
	// Until is the end of the lease on the worker's clock; zero extends nothing.
	Until time.Duration
	// Seen is the number of the newest end that need not be listed again.
	Seen int64
	// Wait is how long the worker may hold the answer back for an end.
	Wait time.Duration
	// Once forbids a second attempt beside the first, and Within bounds the time beyond Wait; zero means the usual one.
	Once   bool
	Within time.Duration
	// Worker is the one that is meant; another one at its address refuses.
	Worker string
}

// RunState is a task that runs.
type RunState struct {
	Ref        RunRef
	Checkpoint string
	// Percent is how much of the work is done.
	Percent int
}

// RunEnd is a task that ended.
type RunEnd struct {
	Number     int64
	Ref        RunRef
	Result     jobs.Result
	Checkpoint string
	// How is the worker's own word for the end.
	How string
	// IsBroken is set when the task ended only because another task of its gang did.
	IsBroken bool
}

// RunReport lists what runs and what ended on a worker.
type RunReport struct {
	// Instance tells the lifetimes of a worker apart; one that starts again under its name knows nothing of before.
	Instance string
	Clock    time.Duration
	Running  []RunState
	Ended    []RunEnd
}

// Runners commands the workers that run tasks under leases.
type Runners struct {
	// Start starts a task; repeating it changes nothing. It returns the worker's clock.
	Start func(ctx context.Context, to netip.AddrPort, s RunStart) (time.Duration, error)
	// Stop stops a task, or keeps its run from starting there.
	Stop func(ctx context.Context, to netip.AddrPort, r RunRef, token int64, worker string) error
	// Hold extends the lease and reports.
	Hold func(ctx context.Context, to netip.AddrPort, h RunHold) (RunReport, error)
}
