package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// ErrRequestInvalid says which part of a request cannot be accepted, and why.
type ErrRequestInvalid struct {
	What string
	Why  string
}

// Error names the part and the reason.
func (e ErrRequestInvalid) Error() string {
	return e.What + " " + e.Why
}

// ErrNoAnswer says that a job has no answer, and what became of it.
type ErrNoAnswer struct {
	Job  string
	Kind string
}

// Error names the job and what became of it.
func (e ErrNoAnswer) Error() string {
	if e.Kind == "" {
		return fmt.Sprintf("job %s has not ended", e.Job)
	}
	return fmt.Sprintf("job %s ended as %s and has no answer", e.Job, e.Kind)
}

var errBusy = errors.New("the host serves as many requests as it may")

// wrapBody keeps the error of a body that is too large apart from one that cannot be parsed.
func wrapBody(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("read body: %w", err)
	}
	return ErrRequestInvalid{What: "body", Why: "cannot be parsed: " + err.Error()}
}

const retryAfter = time.Second

// fail maps an error to its status and outcome, in this one place.
func (s *Server) fail(w http.ResponseWriter, err error) {
	status, kind := classify(err)
	o := &wire.Outcome{Kind: string(kind), Reason: err.Error()}
	if status == http.StatusServiceUnavailable {
		o.RetryAfterMillis = retryAfter.Milliseconds()
	}
	s.count(status)
	render(w, status, JobView{Outcome: o})
}

// failRead answers a failed question about a job; it says nothing of whether the job ran.
func (s *Server) failRead(w http.ResponseWriter, err error) {
	status, _ := classify(err)
	s.count(status)
	render(w, status, Failure{Reason: err.Error()})
}

// Failure says why a question could not be answered.
type Failure struct {
	Reason string
}

func (s *Server) count(status int) {
	s.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("entry_failures").Inc(1)
}

func classify(err error) (int, fleet.OutcomeKind) {
	var invalid ErrRequestInvalid
	var tooLarge *http.MaxBytesError
	var noAnswer ErrNoAnswer
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, fleet.Refused
	case errors.As(err, &invalid), errors.Is(err, fleet.ErrShapeInvalid):
		return http.StatusUnprocessableEntity, fleet.Refused
	case errors.Is(err, route.ErrJobIDInvalid):
		return http.StatusNotFound, fleet.Unknown
	case errors.As(err, &noAnswer):
		return http.StatusConflict, fleet.OutcomeKind(noAnswer.Kind)
	case errors.Is(err, route.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout, fleet.Unknown
	default:
		return http.StatusServiceUnavailable, fleet.Refused
	}
}
