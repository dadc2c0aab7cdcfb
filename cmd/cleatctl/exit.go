package main

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/auburncleat/auburncleat/pkg/oper"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// errUsage reports missing or invalid arguments of a command.
type errUsage struct {
	text string
}

func (e errUsage) Error() string {
	return e.text
}

func usageError(format string, args ...any) error {
	return errUsage{fmt.Sprintf(format, args...)}
}

func exitCode(err error) int {
	var u errUsage
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &u):
		return exitUsage
	case client.IsUnknown(err), oper.IsUnknown(err), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return exitUnknown
	default:
		return exitFailed
	}
}
