package sched

import "github.com/pkg/errors"

// ErrNotOwner is returned when this host does not own its failure domain; the request had no effect.
var ErrNotOwner = errors.New("host does not own the failure domain")
