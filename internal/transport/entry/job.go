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
	// requestTimeout bounds the calls to other hosts on behalf of one request, in addition to the time it asks to wait.
	requestTimeout = 10 * time.Second
	// maxWait bounds WaitMillis, and the download of an answer.
	maxWait = 30 * time.Second
	// maxAwaitStep bounds the wait in one call to the owner.
	maxAwaitStep = 2 * time.Second
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

// JobView is the reply to a submission or to a request for one job.
type JobView struct {
	Job     string
	Status  *wire.JobStatus `json:",omitempty"`
	Outcome *wire.Outcome   `json:",omitempty"`
}

func (s *Server) createJob(w http.ResponseWriter, r *http.Request) {
	var q JobRequest
	if err := s.decode(w, r, &q); err != nil {
		s.writeError(w, err)
		return
	}
	p, err := s.check(&q)
	if err != nil {
		s.writeError(w, err)
		return
	}
	ctx, cancel := s.withTimeout(r.Context(), min(timeToDeadline(&q), requestTimeout))
	defer cancel()
	reply, err := s.router.Submit(ctx, s.newJob(&q, p), r.Header.Get("Request-Id"), string(p.Urgency))
	if err != nil && q.Key != "" {
		// A job of an earlier request with the same key may have run. Only the key's home failure domain knows.
		err = fmt.Errorf("key %s cannot be looked up: %w: %w", q.Key, route.ErrOutcomeUnknown, err)
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	v := JobView{Job: reply.GetJob(), Outcome: reply.GetOutcome()}
	if reply.GetAccepted() {
		v.Status = &wire.JobStatus{Job: reply.GetJob(), State: "Queued"}
	}
	writeJSON(w, submitStatus(reply), v)
}

func (s *Server) newJob(q *JobRequest, p config.Profile) *wire.Job {
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
		DeadlineUnixMillis:  now.Add(timeToDeadline(q)).UnixMilli(),
		Work:                q.Work,
	}
}

// timeToDeadline returns the time from submission to the deadline.
func timeToDeadline(q *JobRequest) time.Duration {
	if q.DeadlineMillis <= 0 {
		return defaultDeadline
	}
	return time.Duration(q.DeadlineMillis) * time.Millisecond
}

// submitStatus returns 202 for an accepted job, 429 for one that was refused with a time to retry, 422 for one that was
// refused for good, and 200 if the job, known from an earlier request, already has another outcome.
func submitStatus(r *wire.SubmitReply) int {
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
	wait, err := parseWait(r)
	if err != nil {
		s.writeQueryError(w, err)
		return
	}
	ctx, cancel := s.withTimeout(r.Context(), wait+requestTimeout)
	defer cancel()
	reply, err := s.await(ctx, r.PathValue("id"), wait)
	if err != nil {
		s.writeQueryError(w, err)
		return
	}
	v := JobView{Job: r.PathValue("id"), Status: reply.GetStatus(), Outcome: reply.GetOutcome()}
	writeJSON(w, http.StatusOK, v)
}

// await polls the owner in short steps, so that a draining host can answer early with the last known status.
func (s *Server) await(ctx context.Context, id string, wait time.Duration) (*wire.AwaitReply, error) {
	start := s.clock.Now()
	for {
		left := wait - s.clock.Since(start)
		q := &wire.AwaitRequest{Job: id, WaitMillis: max(min(left, maxAwaitStep), 0).Milliseconds()}
		reply, err := s.router.Await(ctx, q)
		if err != nil || reply.GetEnded() || left <= maxAwaitStep || s.isDraining() {
			return reply, err
		}
	}
}

func parseWait(r *http.Request) (time.Duration, error) {
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
	ctx, cancel := s.withTimeout(r.Context(), requestTimeout)
	defer cancel()
	js, missing := s.router.FindJobs(ctx, &wire.JobsRequest{
		Organisation: v.Get("Organisation"),
		Profile:      v.Get("Profile"),
		State:        v.Get("State"),
		Limit:        int32(min(max(n, 1), defaultLimit)),
	})
	writeJSON(w, http.StatusOK, JobsView{Jobs: js, Unreachable: missing})
}

const defaultLimit = 1000

// JobsView lists jobs and the failure domains that did not answer.
type JobsView struct {
	Jobs        []*wire.JobStatus
	Unreachable []string
}
