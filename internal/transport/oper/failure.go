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

// Codes of a failure.
const (
	CodeInvalid    = "Invalid"
	CodeNotExist   = "NotExist"
	CodeConflict   = "VersionConflict"
	CodeNotFit     = "NotFit"
	CodeTooSoon    = "TooSoon"
	CodeIDReused   = "IDReused"
	CodeNoKey      = "NoKey"
	CodeKeyFile    = "KeyFile"
	CodeTooLarge   = "TooLarge"
	CodeLogDown    = "LogDown"
	CodeIncomplete = "Incomplete"
	CodeUnknown    = "Unknown"
	CodeNotMissing = "NothingMissing"
)

// Failure says what was refused or not known, what holds instead, and what to do next.
type Failure struct {
	Code string
	// Text says what was asked and why it failed.
	Text  string
	Holds string
	Next  string
	// Problems are all mistakes of an Invalid change.
	Problems []string `json:",omitempty"`
	// Differences go from what is in force to what was asked.
	Differences []config.Difference `json:",omitempty"`
	// Earliest is the first time that would do, for TooSoon.
	Earliest *time.Time `json:",omitempty"`
}

// ErrRequestInvalid says why a request cannot be read.
type ErrRequestInvalid struct {
	Why string
}

// Error gives the reason.
func (e ErrRequestInvalid) Error() string {
	return "request cannot be read: " + e.Why
}

// ErrNotExist says that a resource does not exist.
type ErrNotExist struct {
	Kind config.Kind
	Name string
}

// Error names the resource.
func (e ErrNotExist) Error() string {
	return fmt.Sprintf("%s %s does not exist", e.Kind, e.Name)
}

// classify maps an error to its status and failure, in this one place.
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
		return http.StatusConflict, f.conflict(conflict)
	case errors.As(err, &soon):
		f.Earliest = &soon.Earliest
		return http.StatusConflict, f.say(CodeTooSoon, "the promised notice stands",
			"choose a time from "+soon.Earliest.UTC().Format(time.RFC3339)+" on, or force it and break the promise")
	case errors.Is(err, policy.ErrIDReused):
		return http.StatusConflict, f.say(CodeIDReused, "the change that had the id first", "send this change under an id of its own")
	case errors.As(err, &invalid):
		f.Problems = invalid.Problems
		return http.StatusUnprocessableEntity, f.say(CodeInvalid, "nothing was changed", "mend all that is listed and send it again")
	case errors.As(err, &notFit):
		return http.StatusUnprocessableEntity, f.say(CodeNotFit, "the guarantees in force stand",
			"guarantee less, or elsewhere, or add workers first")
	case errors.As(err, &bad):
		return http.StatusBadRequest, f.say(CodeInvalid, "nothing was changed", "mend the request")
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, f.say(CodeTooLarge, "nothing was changed", "split the change into smaller ones")
	case errors.As(err, &notMissing):
		return http.StatusConflict, f.say(CodeNotMissing, "the claims of the failure domain stand; nothing was changed",
			"see key status; if its hosts were lost just now, repeat it after that time")
	case errors.As(err, &missing), errors.As(err, &noNotice), errors.As(err, &noDomain):
		return http.StatusNotFound, f.say(CodeNotExist, "nothing has this name", "list what there is")
	case errors.Is(err, ErrKeyMissing), errors.Is(err, ErrKeyWrong):
		return http.StatusUnauthorized, f.say(CodeNoKey, "nothing was changed", "send the key of a configured operator")
	case errors.Is(err, ErrKeyFile):
		return http.StatusForbidden, f.say(CodeKeyFile, "nobody may change anything on this host", "mend the host's key file")
	case errors.As(err, &incomplete), errors.Is(err, policy.ErrLogTruncated):
		return http.StatusServiceUnavailable, f.say(CodeIncomplete, "the configuration in force stands",
			"ask another host, or see the alarm in config status")
	case errors.Is(err, stream.ErrOutcomeUnknown), errors.Is(err, policy.ErrNotFolded),
		errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, stream.ErrLogDown):
		return http.StatusGatewayTimeout, f.say(CodeUnknown, "the change may be in force, now or later", "repeat it under the same id")
	case errors.Is(err, stream.ErrLogDown):
		return http.StatusServiceUnavailable, f.say(CodeLogDown, "nothing was changed; the configuration in force stands",
			"repeat it when the log answers")
	default:
		return http.StatusGatewayTimeout, f.say(CodeUnknown, "the change may be in force, now or later", "repeat it under the same id")
	}
}

func (f Failure) say(code, holds, next string) Failure {
	f.Code = code
	f.Holds = holds
	f.Next = next
	return f
}

func (f Failure) conflict(e policy.ErrConflict) Failure {
	c := e.Conflict
	f.Differences = e.Differences
	holds := fmt.Sprintf("%s %s stands at version %d", c.Kind, c.Name, c.Have)
	if c.Have == 0 {
		holds = fmt.Sprintf("%s %s does not exist any more", c.Kind, c.Name)
	}
	if c.By != "" {
		holds += ", by " + c.By
	}
	return f.say(CodeConflict, holds, "look at what differs, and revise the version that stands")
}
