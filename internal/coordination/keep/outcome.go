package keep

import (
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// OutcomeKind returns what a caller may be told of a job whose last attempt has ended.
//
// Refused is said only of an attempt of which no start was sent, or whose start is fenced off for good. End is the result
// of a started attempt; cancelled says that the caller withdrew the job.
func OutcomeKind(start gang.State, end plan.Result, cancelled bool) fleet.OutcomeKind {
	return kindOf(start, end, cancelled, false)
}

// kindOf can take a start that is not known for one that did not happen, which only tests do.
func kindOf(start gang.State, end plan.Result, cancelled, guess bool) fleet.OutcomeKind {
	if guess && start == gang.Unknown {
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
