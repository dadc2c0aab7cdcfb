package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// Verb says what a caller wants.
type Verb int

// Verbs of callers.
const (
	// Submit hands a job in.
	Submit Verb = iota
	// Look asks for the state of a job, or for the count of a queue when no job is named.
	Look
	// Cancel takes a job back.
	Cancel
)

// String names the verb.
func (v Verb) String() string {
	return [...]string{"Submit", "Look", "Cancel"}[v]
}

// Request is one request of a caller, which names queue and job by host name and path.
type Request struct {
	Verb Verb
	Host string
	Path string
	Key  string
	// Job is what is submitted, without its id; it is nil when the caller's job could not be read, as Fault tells.
	Job   *jobs.Job
	Fault string
	// Patience is how long the caller waits for the answer.
	Patience time.Duration
	// MinVersion is the oldest configuration by which the request may be served; zero means any.
	MinVersion int64
}

// Reply is the answer to a request that was served.
type Reply struct {
	Progress Progress
	Pending  int
	// IsCount is set when Pending is the answer.
	IsCount bool
}

// version returns that of the configuration in force, or zero.
func (i *Intake) version() int64 {
	if c := i.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Serve admits a request and carries it out.
func (i *Intake) Serve(ctx context.Context, q Request) (Reply, error) {
	c, err := i.Admit(q.Host, q.Path, q.Key)
	if v := i.version(); v < q.MinVersion {
		return Reply{}, ErrBusy{Why: fmt.Sprintf("configuration %d is older than %d", v, q.MinVersion), RetryAfter: retryAfter}
	}
	if err != nil {
		return Reply{}, err
	}
	if c.Rest == "" && q.Verb == Look {
		n, err := i.CountPending(c.Queue)
		return Reply{Pending: n, IsCount: true}, err
	}
	if !jobs.IsID(c.Rest) {
		return Reply{}, fmt.Errorf("%q names no job: %w", c.Rest, ErrNoQueue)
	}
	switch q.Verb {
	case Submit:
		if q.Job == nil {
			return Reply{}, fmt.Errorf("job %s: %s: %w", c.Rest, q.Fault, ErrInvalid)
		}
		j := *q.Job
		j.ID = c.Rest
		return Reply{}, i.Submit(ctx, c, &j, q.Patience)
	case Cancel:
		return Reply{}, i.Cancel(ctx, c.Rest, q.Patience)
	default:
		p, err := i.GetState(ctx, c.Rest)
		return Reply{Progress: p}, err
	}
}
