package oper

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	api "github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

// ErrNoKeyFile is returned if a change is requested without a key file, or if the key file holds no key.
var ErrNoKeyFile = errors.New("no bearer key: a file with the operator's name and key is required")

// ErrFailed is a failure that a host reported, with the HTTP status of the reply.
type ErrFailed struct {
	Status int
	Failure
}

// Error returns the reason, the differences from the request, the state that is in force, and the next step.
func (e ErrFailed) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Code, e.Text)
	if len(e.Problems) > 1 {
		for _, p := range e.Problems {
			fmt.Fprintf(&b, "\n  problem: %s", p)
		}
	}
	for _, d := range e.Differences {
		fmt.Fprintf(&b, "\n  differs: %s is %q, asked for was %q", d.Key, d.Old, d.New)
	}
	fmt.Fprintf(&b, "\n  holds: %s\n  next: %s", e.Holds, e.Next)
	return b.String()
}

// ErrUnknown means that the change with the given id may be in force, now or later; Last is the error of the last attempt.
type ErrUnknown struct {
	ID   string
	Last error
}

// Error returns the id, the last error, and how to find out the outcome.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf(
		"outcome unknown: change %s may be in force, now or later (%v)\n  next: repeat the command with --id %s", e.ID, e.Last, e.ID)
}

// Unwrap returns the error of the last attempt.
func (e ErrUnknown) Unwrap() error {
	return e.Last
}

// IsUnknown reports whether err is an ErrUnknown: the outcome of the change is not known.
func IsUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// toFailure converts an error status with a failure in its body to ErrFailed; other errors stay as they are.
func toFailure(err error) error {
	var e *rest.ErrStatus
	if !errors.As(err, &e) {
		return err
	}
	f := ErrFailed{Status: e.Status}
	if json.Unmarshal(e.Body, &f.Failure) != nil || f.Code == "" {
		return err
	}
	return f
}

// isFinal reports whether err settles the outcome of a change, so that no retry is needed.
//
// Once an earlier attempt may have taken effect (isUnknown), only a verdict that is based on the log settles it.
func isFinal(err error, isUnknown bool) bool {
	var f ErrFailed
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case api.CodeVersionConflict, api.CodeNothingMissing:
		return true
	case api.CodeUnknown, api.CodeLogDown, api.CodeIncomplete, api.CodeKeyFile:
		return false
	default:
		return !isUnknown
	}
}

// mayHaveEffect reports whether the attempt that failed with err may have taken effect. A failed dial cannot have.
func mayHaveEffect(err error) bool {
	var f ErrFailed
	if errors.As(err, &f) {
		return f.Code == api.CodeUnknown
	}
	var o *net.OpError
	return !errors.As(err, &o) || o.Op != "dial"
}
