package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxInFlight bounds the jobs that are submitted and have not ended.
const maxInFlight = 1024

// Stream is a sequence of identical jobs of one organisation.
type Stream struct {
	Organisation string
	Profile      string
	// Key is the prefix of the jobs' idempotency keys; empty for jobs without one. Every Repeat-th job is submitted twice
	// at the same time; zero means none.
	Key    string
	Repeat int
	Count  int
	// AfterMillis is the time before the first submission, EveryMillis the interval between submissions.
	AfterMillis int64
	EveryMillis int64
	// DeadlineMillis is how long the caller waits for each job.
	DeadlineMillis int64
	RunTimeMillis  int64
	Shape          client.Shape
	Work           Work
}

// Load is the workload of a demo.
type Load struct {
	Streams []Stream
}

// ReadLoad reads a workload from a JSON file.
func ReadLoad(path string) (Load, error) {
	f, err := os.Open(path)
	if err != nil {
		return Load{}, fmt.Errorf("read load: %w", err)
	}
	defer func() { _ = f.Close() }()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	var l Load
	if err := d.Decode(&l); err != nil {
		return Load{}, fmt.Errorf("read load %s: %w", path, err)
	}
	return l, nil
}

// Ended is the outcome of one job as its caller received it.
type Ended struct {
	Organisation string
	Profile      string
	Key          string `json:",omitempty"`
	Job          string
	Attempt      int
	Tasks        int
	Kind         string
	Reason       string `json:",omitempty"`
	AnswerBytes  int64  `json:",omitempty"`
	AnswerDigest uint64 `json:",omitempty"`
	TookMillis   int64
}

// Report holds the outcomes that the callers received, in the order in which the jobs ended.
type Report struct {
	Ended []Ended
}

// Callers simulates the callers of several organisations.
type Callers struct {
	Client *client.Client
	Clock  clock.Clock
	// Progress is called with the numbers of submitted and ended jobs after each change.
	Progress  func(submitted, ended int)
	mu        sync.Mutex
	submitted int
	report    Report
	slots     chan struct{}
	pending   sync.WaitGroup
}

// Run submits the load and returns once every job has ended for its caller.
func (c *Callers) Run(ctx context.Context, l Load) Report {
	c.slots = make(chan struct{}, maxInFlight)
	var streams sync.WaitGroup
	for _, s := range l.Streams {
		streams.Go(func() { c.submit(ctx, s) })
	}
	streams.Wait()
	c.pending.Wait()
	return c.report
}

func (c *Callers) submit(ctx context.Context, s Stream) {
	wait := time.Duration(s.AfterMillis) * time.Millisecond
	for i := range s.Count {
		if c.Clock.Sleep(ctx, wait) != nil {
			return
		}
		wait = time.Duration(s.EveryMillis) * time.Millisecond
		j := s.job(i)
		n := 1
		if s.Repeat > 0 && i%s.Repeat == 0 {
			n = 2
		}
		for range n {
			c.slots <- struct{}{}
			c.pending.Go(func() {
				c.runJob(ctx, s, j)
				<-c.slots
			})
		}
	}
}

func (s Stream) job(i int) client.Job {
	j := client.Job{
		Organisation: s.Organisation,
		Profile:      s.Profile,
		Shape:        s.Shape,
		RunTime:      time.Duration(s.RunTimeMillis) * time.Millisecond,
	}
	w := s.Work
	if s.Key != "" {
		j.Key = fmt.Sprintf("%s-%d", s.Key, i)
		w.Key = s.Organisation + "/" + j.Key
	}
	// Encoding Work cannot fail.
	j.Work, _ = json.Marshal(w)
	return j
}

func (c *Callers) runJob(ctx context.Context, s Stream, j client.Job) {
	start := c.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(time.Duration(s.DeadlineMillis)*time.Millisecond))
	defer cancel()
	c.record(nil)
	r, err := c.Client.Run(ctx, j)
	for err != nil && c.waitToRetry(ctx, err) {
		r, err = c.Client.Run(ctx, j)
	}
	e := Ended{
		Organisation: j.Organisation,
		Profile:      j.Profile,
		Key:          j.Key,
		Job:          r.Outcome.Job,
		Attempt:      r.Outcome.Attempt,
		Tasks:        s.Shape.Tasks,
		Kind:         client.Done,
		AnswerBytes:  int64(len(r.Answer)),
		AnswerDigest: xxhash.Sum64(r.Answer),
		TookMillis:   c.Clock.Since(start).Milliseconds(),
	}
	if err != nil {
		e.setError(err)
	}
	c.record(&e)
}

// waitToRetry waits for the retry delay of a refusal, and returns false if there is none or the deadline comes first.
func (c *Callers) waitToRetry(ctx context.Context, err error) bool {
	var r *client.ErrRefused
	return errors.As(err, &r) && r.RetryAfter > 0 && c.Clock.Sleep(ctx, r.RetryAfter) == nil
}

func (e *Ended) setError(err error) {
	e.Kind = client.Unknown
	e.Reason = err.Error()
	var r *client.ErrRefused
	var u *client.ErrUnknown
	switch {
	case errors.As(err, &r):
		e.Kind = client.Refused
		e.Job = r.Job
	case errors.As(err, &u):
		e.Job = u.Job
	}
}

// record counts a submission if e is nil, and adds the outcome to the report otherwise.
func (c *Callers) record(e *Ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e == nil {
		c.submitted++
	} else {
		c.report.Ended = append(c.report.Ended, *e)
	}
	if c.Progress != nil {
		c.Progress(c.submitted, len(c.report.Ended))
	}
}
