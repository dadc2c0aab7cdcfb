package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// Errors of a runner. After any other error except ErrUnsent a command may have been executed, or may be executed later.
var (
	// ErrWrongWorker says that another worker answered at the address.
	ErrWrongWorker = errors.New("another worker is at the address")
	// ErrLeaseExpired says that the lease of a start had expired when the start arrived.
	ErrLeaseExpired = errors.New("lease had expired when the start arrived")
	// ErrRunEnded says that this run, or one with a higher number, has already ended on the worker.
	ErrRunEnded = errors.New("run has already ended on the worker")
	// ErrUnhealthy says that the worker replied with an error and did not execute the command.
	ErrUnhealthy = errors.New("worker is unhealthy")
)

// RunRef identifies one run of a task; occurrences of its job are counted from 0.
type RunRef struct {
	Job        string
	Occurrence int
	Step       int
	Task       int
	Run        int
}

// Runner is a worker that runs tasks under leases, which are measured on its own clock.
type Runner struct {
	Worker fleet.Worker
	// IsDraining is set while the worker is leaving.
	IsDraining bool
	// Instance is the lifetime of the worker that the other fields describe, as in RunReport; empty if it is not known.
	Instance string
}

// RunStart is a request to start a task; its lease ends at Until on the worker's clock.
type RunStart struct {
	Ref        RunRef
	Spec       string
	Until      time.Duration
	Token      int64
	Checkpoint string
	// Worker is the intended worker; another one at the same address refuses the request.
	Worker string
}

// LeaseRenewal is a request to extend the lease of all tasks on a worker, and to report which tasks have ended.
type LeaseRenewal struct {
	Token int64
	// Until is the end of the lease on the worker's clock; zero does not extend the lease.
	Until time.Duration
	// AckedEnd is the highest RunEnd.Number that the caller has processed; the report omits ends up to it.
	AckedEnd int64
	// Wait is how long the worker may delay its reply until a task ends.
	Wait time.Duration
	// Once forbids a second, hedged attempt, and Within bounds the time beyond Wait; zero means the default.
	Once   bool
	Within time.Duration
	// Worker is the intended worker; another one at the same address refuses the request.
	Worker string
}

// RunState is the state of a running task.
type RunState struct {
	Ref        RunRef
	Checkpoint string
	// Percent is the progress of the task.
	Percent int
}

// RunEnd is a task that ended.
type RunEnd struct {
	Number     int64
	Ref        RunRef
	Result     jobs.Result
	Checkpoint string
	// How is the worker's description of the end.
	How string
	// IsGangEnd is set when the task ended only because another task of its gang ended.
	IsGangEnd bool
}

// RunReport lists the tasks that are running and those that have ended on a worker.
type RunReport struct {
	// Instance identifies one lifetime of a worker; a worker that restarts under the same name has lost its earlier state.
	Instance string
	Clock    time.Duration
	Running  []RunState
	Ended    []RunEnd
	// IsCut is set when more tasks may have ended than Ended lists; a task that the report lists nowhere may be among them.
	IsCut bool
}

// Runners is the client of the workers that run tasks under leases.
type Runners struct {
	// Start starts a task and returns the worker's clock; it is idempotent.
	Start func(ctx context.Context, to netip.AddrPort, s RunStart) (time.Duration, error)
	// Stop stops a run of a task, or prevents it from starting on the worker.
	Stop func(ctx context.Context, to netip.AddrPort, r RunRef, token int64, worker string) error
	// Renew extends the lease and returns a report.
	Renew func(ctx context.Context, to netip.AddrPort, h LeaseRenewal) (RunReport, error)
	// BornAt returns when a lifetime of a worker began, by the worker's time of day, or zero if its name doesn't tell. A nil function stands
	// for names that never do.
	BornAt func(instance string) time.Time
}
