package sched

import "github.com/pkg/errors"

// ErrNotOwner says that this host does not schedule its failure domain now; nothing was done.
var ErrNotOwner = errors.New("host does not own the failure domain")
