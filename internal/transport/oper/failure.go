package oper

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
)

// Codes of a Failure.
const (
	CodeInvalid         = "Invalid"
	CodeNotExist        = "NotExist"
	CodeVersionConflict = "VersionConflict"
	CodeNotFit          = "NotFit"
	CodeTooSoon         = "TooSoon"
	CodeIDReused        = "IDReused"
	CodeNoKey           = "NoKey"
	CodeKeyFile         = "KeyFile"
	CodeTooLarge        = "TooLarge"
	CodeLogDown         = "LogDown"
	CodeIncomplete      = "Incomplete"
	CodeUnknown         = "Unknown"
	CodeNothingMissing  = "NothingMissing"
)

// Failure is the reply to a request that was rejected or whose result is unknown.
type Failure struct {
	Code string
	// Text describes the request and the error.
	Text string
	// Holds describes the state that is in force after the failure.
	Holds string
	// Next tells the operator what to do.
	Next string
	// Problems lists all validation errors of a change; it is set for CodeInvalid.
	Problems []string `json:",omitempty"`
	// Differences lead from the resource in force to the requested one; they are set for CodeConflict.
	Differences []config.Difference `json:",omitempty"`
	// Earliest is the earliest time at which the change is allowed; it is set for CodeTooSoon.
	Earliest *time.Time `json:",omitempty"`
}

// ErrRequestInvalid reports a request that cannot be parsed or lacks a field.
type ErrRequestInvalid struct {
	Why string
}

// Error returns the reason.
func (e ErrRequestInvalid) Error() string {
	return "request is invalid: " + e.Why
}

// ErrNotExist reports a resource that does not exist.
type ErrNotExist struct {
	Kind config.Kind
	Name string
}

// Error returns the kind and name of the resource.
func (e ErrNotExist) Error() string {
	return fmt.Sprintf("%s %s does not exist", e.Kind, e.Name)
}

// classify maps an error to the status and the body of the reply.
func classify(err error) (int, Failure) {
	f := Failure{Text: err.Error()}
	var (
		conflict   policy.ErrConflict
		soon       notice.ErrTooSoon
		invalid    config.ErrInvalid
		notFit     policy.ErrNotFit
		incomplete config.ErrIncomplete
		bad        ErrRequestInvalid
		missing    ErrNotExist
		noNotice   policy.ErrNoticeNotExist
		tooLarge   *http.MaxBytesError
		noDomain   dedup.ErrDomainNotExist
		notMissing dedup.ErrNothingMissing
	)
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, f.withConflict(conflict)
	case errors.As(err, &soon):
		f.Earliest = &soon.Earliest
		return http.StatusConflict, f.withAdvice(CodeTooSoon, "the promised notice period remains in force",
			"choose "+soon.Earliest.UTC().Format(time.RFC3339)+" or a later time, or force the change and break the promise")
	case errors.Is(err, policy.ErrIDReused):
		return http.StatusConflict, f.withAdvice(CodeIDReused, "the earlier change with this id", "send this change with a new id")
	case errors.As(err, &invalid):
		f.Problems = invalid.Problems
		return http.StatusUnprocessableEntity, f.withAdvice(CodeInvalid, "nothing was changed", "fix all listed problems and send the change again")
	case errors.As(err, &notFit):
		return http.StatusUnprocessableEntity, f.withAdvice(CodeNotFit, "the guarantees in force are unchanged",
			"reduce or move the guarantees, or add workers first")
	case errors.As(err, &bad):
		return http.StatusBadRequest, f.withAdvice(CodeInvalid, "nothing was changed", "correct the request")
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, f.withAdvice(CodeTooLarge, "nothing was changed", "split the change into smaller ones")
	case errors.As(err, &notMissing):
		return http.StatusConflict, f.withAdvice(CodeNothingMissing, "the claims of the failure domain are unchanged; nothing was changed",
			"see key status; if its hosts were lost just now, repeat the request after the time given there")
	case errors.As(err, &missing), errors.As(err, &noNotice), errors.As(err, &noDomain):
		return http.StatusNotFound, f.withAdvice(CodeNotExist, "no resource has this name", "list the existing resources")
	case errors.Is(err, ErrKeyMissing), errors.Is(err, ErrKeyUnknown):
		return http.StatusUnauthorized, f.withAdvice(CodeNoKey, "nothing was changed", "send the key of a configured operator")
	case errors.Is(err, ErrKeyFile):
		return http.StatusForbidden, f.withAdvice(CodeKeyFile, "no operator can change anything on this host", "correct the host's key file")
	case errors.As(err, &incomplete), errors.Is(err, policy.ErrLogTruncated):
		return http.StatusServiceUnavailable, f.withAdvice(CodeIncomplete, "the configuration in force is unchanged",
			"ask another host, or see the alarm in config status")
	case errors.Is(err, stream.ErrOutcomeUnknown), errors.Is(err, policy.ErrNotFolded),
		errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, stream.ErrLogDown):
		return http.StatusGatewayTimeout, f.withAdvice(CodeUnknown, "the change may be in force, now or later", "repeat it under the same id")
	case errors.Is(err, stream.ErrLogDown):
		return http.StatusServiceUnavailable, f.withAdvice(CodeLogDown, "nothing was changed; the configuration in force remains",
			"repeat the request when the log answers")
	default:
		return http.StatusGatewayTimeout, f.withAdvice(CodeUnknown, "the change may be in force, now or later", "repeat it under the same id")
	}
}

func (f Failure) withAdvice(code, holds, next string) Failure {
	f.Code = code
	f.Holds = holds
	f.Next = next
	return f
}

func (f Failure) withConflict(e policy.ErrConflict) Failure {
	c := e.Conflict
	f.Differences = e.Differences
	holds := fmt.Sprintf("%s %s stands at version %d", c.Kind, c.Name, c.Have)
	if c.Have == 0 {
		holds = fmt.Sprintf("%s %s no longer exists", c.Kind, c.Name)
	}
	if c.By != "" {
		holds += ", by " + c.By
	}
	return f.withAdvice(CodeVersionConflict, holds, "look at what differs, and revise the version that stands")
}
