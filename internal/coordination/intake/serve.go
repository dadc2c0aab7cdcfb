package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// Verb is the operation that a caller requests.
type Verb int

// Operations that callers can request.
const (
	// Submit submits a job.
	Submit Verb = iota
	// Look requests the state of a job, or the number of pending jobs of a queue when the path names no job.
	Look
	// Cancel cancels a job.
	Cancel
)

// String returns the name of the verb.
func (v Verb) String() string {
	return [...]string{"Submit", "Look", "Cancel"}[v]
}

// Request is a request of a caller; its host name and path identify the queue and the job.
type Request struct {
	Verb Verb
	Host string
	Path string
	Key  string
	// Job is the submitted job without its id. It is nil when the job could not be decoded; Fault is then the reason.
	Job   *jobs.Job
	Fault string
	// Timeout is how long the caller waits for the reply.
	Timeout time.Duration
	// MinVersion is the oldest configuration version that the request may be served with; zero accepts any.
	MinVersion int64
}

// Reply is the result of a request that was served.
type Reply struct {
	Progress Progress
	Pending  int
	// IsCount is set when the result is Pending, and not Progress.
	IsCount bool
}

// configVersion returns the version of the configuration in force, or zero.
func (i *Intake) configVersion() int64 {
	if c := i.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// CheckPath returns the error that any submission with a host name, a path and a key is refused with, or nil. It leaves
// reasons that may not hold at another host to Serve.
func (i *Intake) CheckPath(host, path, key string) error {
	c, err := i.Admit(host, path, key)
	if errors.Is(err, ErrNoQueue) || errors.Is(err, ErrNoKey) {
		return err
	}
	if err == nil && !jobs.IsID(c.Suffix) {
		return fmt.Errorf("%q is not a job id: %w", c.Suffix, ErrNoQueue)
	}
	return nil
}

// Serve admits a request and executes it.
func (i *Intake) Serve(ctx context.Context, q Request) (Reply, error) {
	c, err := i.Admit(q.Host, q.Path, q.Key)
	if v := i.configVersion(); v < q.MinVersion {
		return Reply{}, ErrBusy{Why: fmt.Sprintf("configuration %d is older than %d", v, q.MinVersion), RetryAfter: retryAfter}
	}
	if err != nil {
		return Reply{}, err
	}
	if c.Suffix == "" && q.Verb == Look {
		n, err := i.CountPending(c.Queue)
		return Reply{Pending: n, IsCount: true}, err
	}
	if !jobs.IsID(c.Suffix) {
		return Reply{}, fmt.Errorf("%q is not a job id: %w", c.Suffix, ErrNoQueue)
	}
	switch q.Verb {
	case Submit:
		if q.Job == nil {
			return Reply{}, fmt.Errorf("job %s: %s: %w", c.Suffix, q.Fault, ErrInvalid)
		}
		j := *q.Job
		j.ID = c.Suffix
		return Reply{}, i.Submit(ctx, c, &j, q.Timeout)
	case Cancel:
		return Reply{}, i.Cancel(ctx, c.Suffix, q.Timeout)
	default:
		p, err := i.GetProgress(ctx, c.Suffix)
		return Reply{Progress: p}, err
	}
}
