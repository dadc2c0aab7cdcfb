package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	defaultDeadline = time.Hour
	submitBound     = 10 * time.Second
	maxWait         = 30 * time.Second
	waitSlice       = 2 * time.Second
)

// JobRequest is the body of a submission.
type JobRequest struct {
	Organisation   string
	Profile        string
	Key            string
	Shape          *wire.Shape
	RunTimeMillis  int64
	DeadlineMillis int64
	Work           []byte
}

// JobView is what a caller sees of a job.
type JobView struct {
	Job     string
	Status  *wire.JobStatus `json:",omitempty"`
	Outcome *wire.Outcome   `json:",omitempty"`
}

func (s *Server) createJob(w http.ResponseWriter, r *http.Request) {
	var q JobRequest
	if err := s.decode(w, r, &q); err != nil {
		s.fail(w, err)
		return
	}
	p, err := s.check(&q)
	if err != nil {
		s.fail(w, err)
		return
	}
	ctx, cancel := s.bound(r.Context(), min(deadlineOf(&q), submitBound))
	defer cancel()
	reply, err := s.router.Submit(ctx, s.jobOf(&q, p), r.Header.Get("Request-Id"), string(p.Urgency))
	if err != nil && q.Key != "" {
		// An earlier request with the key may have run, which only its home can tell.
		err = fmt.Errorf("key %s cannot be looked up: %w: %w", q.Key, route.ErrOutcomeUnknown, err)
	}
	if err != nil {
		s.fail(w, err)
		return
	}
	v := JobView{Job: reply.GetJob(), Outcome: reply.GetOutcome()}
	if reply.GetAccepted() {
		v.Status = &wire.JobStatus{Job: reply.GetJob(), State: "Queued"}
	}
	render(w, statusOf(reply), v)
}

func (s *Server) jobOf(q *JobRequest, p config.Profile) *wire.Job {
	now := s.clock.Now()
	run := q.RunTimeMillis
	if run == 0 {
		run = p.RunTime.Milliseconds()
	}
	return &wire.Job{
		Organisation:        q.Organisation,
		Profile:             q.Profile,
		Key:                 q.Key,
		Shape:               q.Shape,
		RunTimeMillis:       run,
		SubmittedUnixMillis: now.UnixMilli(),
		DeadlineUnixMillis:  now.Add(deadlineOf(q)).UnixMilli(),
		Work:                q.Work,
	}
}

func deadlineOf(q *JobRequest) time.Duration {
	if q.DeadlineMillis <= 0 {
		return defaultDeadline
	}
	return time.Duration(q.DeadlineMillis) * time.Millisecond
}

// statusOf tells work that waits or runs from work whose end is known.
func statusOf(r *wire.SubmitReply) int {
	if r.GetAccepted() {
		return http.StatusAccepted
	}
	o := r.GetOutcome()
	if o.GetKind() != string(fleet.Refused) {
		return http.StatusOK
	}
	if o.GetRetryAfterMillis() > 0 {
		return http.StatusTooManyRequests
	}
	return http.StatusUnprocessableEntity
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	wait, err := waitOf(r)
	if err != nil {
		s.failRead(w, err)
		return
	}
	ctx, cancel := s.bound(r.Context(), wait+submitBound)
	defer cancel()
	reply, err := s.await(ctx, r.PathValue("id"), wait)
	if err != nil {
		s.failRead(w, err)
		return
	}
	v := JobView{Job: r.PathValue("id"), Status: reply.GetStatus(), Outcome: reply.GetOutcome()}
	render(w, http.StatusOK, v)
}

// await asks in short waits, so that a host that is leaving can answer with the status it has.
func (s *Server) await(ctx context.Context, id string, wait time.Duration) (*wire.AwaitReply, error) {
	start := s.clock.Now()
	for {
		left := wait - s.clock.Since(start)
		q := &wire.AwaitRequest{Job: id, WaitMillis: max(min(left, waitSlice), 0).Milliseconds()}
		reply, err := s.router.Await(ctx, q)
		if err != nil || reply.GetEnded() || left <= waitSlice || s.isDraining() {
			return reply, err
		}
	}
}

func waitOf(r *http.Request) (time.Duration, error) {
	t := r.URL.Query().Get("WaitMillis")
	if t == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(t, 10, 64)
	if err != nil || n < 0 {
		return 0, ErrRequestInvalid{What: "WaitMillis", Why: "is not a number of milliseconds"}
	}
	return min(time.Duration(n)*time.Millisecond, maxWait), nil
}

func (s *Server) findJobs(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	n, err := strconv.Atoi(v.Get("Limit"))
	if err != nil {
		n = defaultLimit
	}
	ctx, cancel := s.bound(r.Context(), submitBound)
	defer cancel()
	js, missing := s.router.FindJobs(ctx, &wire.JobsRequest{
		Organisation: v.Get("Organisation"),
		Profile:      v.Get("Profile"),
		State:        v.Get("State"),
		Limit:        int32(min(max(n, 1), defaultLimit)),
	})
	render(w, http.StatusOK, JobsView{Jobs: js, Unreachable: missing})
}

const defaultLimit = 1000

// JobsView lists jobs, and the failure domains that could not be asked.
type JobsView struct {
	Jobs        []*wire.JobStatus
	Unreachable []string
}
