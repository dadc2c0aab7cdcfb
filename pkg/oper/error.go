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

// ErrNoKeyFile says that no bearer key is named, which changes need.
var ErrNoKeyFile = errors.New("no bearer key: name a file with the operator's name and key")

// ErrFailed is a failure that a host has reported.
type ErrFailed struct {
	Status int
	Failure
}

// Error says what was asked, what holds instead, and what to do next.
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

// ErrUnknown says that no host could tell what became of a change.
type ErrUnknown struct {
	ID   string
	Last error
}

// Error says how to find out.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf(
		"outcome unknown: change %s may be in force, now or later (%v)\n  next: repeat the command with --id %s", e.ID, e.Last, e.ID)
}

// Unwrap returns the last error that was seen.
func (e ErrUnknown) Unwrap() error {
	return e.Last
}

// IsUnknown reports whether the outcome of a change is not known.
func IsUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// wrap turns the reply of a host that reports a failure into ErrFailed.
func wrap(err error) error {
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

// isSettled reports whether a failure ends the search for what became of a change.
//
// Once an attempt may have had an effect, only a verdict of the log counts.
func isSettled(err error, isUnknown bool) bool {
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

// mayHaveEffect reports whether an attempt that failed may have changed something.
func mayHaveEffect(err error) bool {
	var f ErrFailed
	if errors.As(err, &f) {
		return f.Code == api.CodeUnknown
	}
	var o *net.OpError
	return !errors.As(err, &o) || o.Op != "dial"
}
