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

// ErrRequestInvalid reports the part of a request that cannot be accepted and the reason.
type ErrRequestInvalid struct {
	What string
	Why  string
}

// Error returns the part and the reason.
func (e ErrRequestInvalid) Error() string {
	return e.What + " " + e.Why
}

// ErrNoAnswer reports that a job has no answer; Kind is the kind of its outcome, or empty while the job has not ended.
type ErrNoAnswer struct {
	Job  string
	Kind string
}

// Error returns the job ID and the outcome.
func (e ErrNoAnswer) Error() string {
	if e.Kind == "" {
		return fmt.Sprintf("job %s has not ended", e.Job)
	}
	return fmt.Sprintf("job %s ended as %s and has no answer", e.Job, e.Kind)
}

var errTooManyRequests = errors.New("the host has reached its limit of concurrent requests")

// wrapBodyError distinguishes a body that exceeds the size limit from one that cannot be parsed.
func wrapBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("read body: %w", err)
	}
	return ErrRequestInvalid{What: "body", Why: "cannot be parsed: " + err.Error()}
}

const retryAfter = time.Second

// writeError answers a failed submission with the status and the outcome that belong to the error.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	status, kind := classify(err)
	o := &wire.Outcome{Kind: string(kind), Reason: err.Error()}
	if status == http.StatusServiceUnavailable {
		o.RetryAfterMillis = retryAfter.Milliseconds()
	}
	s.count(status)
	writeJSON(w, status, JobView{Outcome: o})
}

// writeQueryError answers a failed request about existing jobs. The reply holds no outcome, since the failure of the
// request does not tell whether the job ran.
func (s *Server) writeQueryError(w http.ResponseWriter, err error) {
	status, _ := classify(err)
	s.count(status)
	writeJSON(w, status, Failure{Reason: err.Error()})
}

// Failure is the reply to a failed request about existing jobs.
type Failure struct {
	Reason string
}

func (s *Server) count(status int) {
	s.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("entry_failures").Inc(1)
}

// classify maps an error to the status of the reply and the kind of the outcome.
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
