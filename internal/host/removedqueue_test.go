package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestAttemptsStayBoundedWithoutQueue guards against tasks that run on for as often as they fail while the configuration lacks the
// queue of their job.
func TestAttemptsStayBoundedWithoutQueue(t *testing.T) {
	for name, change := range map[string]func(x *mixedSite){
		"same owner": func(*mixedSite) {},
		"next owner": func(x *mixedSite) {
			o := x.owner()
			x.kill(o)
			x.stopHost(o)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runMixedSite(t, 1, 24, 1, largeLimits, func(x *mixedSite) {
				x.runners.SetAdjust(func(_ string, o standin.RunOutcome) standin.RunOutcome {
					return standin.RunOutcome{Work: 500 * time.Millisecond, Result: jobs.FailedRun}
				})
				x.submitKnown(testJobID, "quiet", time.Second, jobs.Step{Tasks: 1, Accelerators: 1, Processors: 1, Estimate: time.Second})
				a := port.Append{Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte("15")}}}
				_, err := x.store.View("operator").Append(x.t.Context(), a)
				require.NoError(t, err)
				x.advance(time.Second)
				change(x)
				x.advance(15 * time.Second)
				require.Empty(t, x.runners.Faults())
				require.Empty(t, x.runners.FindRunning())
			})
		})
	}
}
