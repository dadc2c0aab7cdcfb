package mirror

import (
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// OutcomeKind returns the outcome reported to the caller of a job whose last attempt has ended.
//
// It is Refused only if no start of the attempt was sent, or if its start is fenced for good. End is the result of a started
// attempt; cancelled tells whether the caller cancelled the job.
func OutcomeKind(start gang.State, end plan.Result, cancelled bool) fleet.OutcomeKind {
	return outcomeKind(start, end, cancelled, false)
}

// outcomeKind implements OutcomeKind; tests set unknownAsNotStarted to show that an unknown start must not count as none.
func outcomeKind(start gang.State, end plan.Result, cancelled, unknownAsNotStarted bool) fleet.OutcomeKind {
	if unknownAsNotStarted && start == gang.Unknown {
		start = gang.NotStarted
	}
	switch {
	case start == gang.NotStarted && cancelled:
		return fleet.Cancelled
	case start == gang.NotStarted:
		return fleet.Refused
	case start != gang.Started:
		return fleet.Unknown
	case end == plan.ResultDone:
		return fleet.Done
	case end == plan.ResultStopped && cancelled:
		return fleet.Cancelled
	default:
		return fleet.Unknown
	}
}
