package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// publish stores a version of the configuration.
func (x *mixedSite) publish(version string) {
	a := port.Append{Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte(version)}}}
	_, err := x.store.View("operator").Append(x.t.Context(), a)
	require.NoError(x.t, err)
}

// replaceHosts kills all hosts and starts others, which have seen nothing of the past.
func (x *mixedSite) replaceHosts() {
	for _, n := range x.liveHosts() {
		x.kill(n)
		x.stopHost(n)
	}
	for _, n := range []string{"d", "e", "f"} {
		x.start(n)
	}
}

// failAllRuns makes every run fail after the given time.
func (x *mixedSite) failAllRuns(after time.Duration) {
	x.runners.SetAdjust(func(string, standin.RunOutcome) standin.RunOutcome {
		return standin.RunOutcome{Work: after, Result: jobs.FailedRun}
	})
}

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
		"all hosts replaced": (*mixedSite).replaceHosts,
	} {
		t.Run(name, func(t *testing.T) {
			runMixedSite(t, 1, 24, 1, largeLimits, func(x *mixedSite) {
				x.failAllRuns(500 * time.Millisecond)
				x.submitKnown(testJobID, "quiet", time.Second, jobs.Step{Tasks: 1, Accelerators: 1, Processors: 1, Estimate: time.Second})
				x.publish("15")
				x.advance(time.Second)
				change(x)
				x.advance(15 * time.Second)
				require.Empty(t, x.runners.Faults())
				require.Empty(t, x.runners.FindRunning())
			})
		})
	}
}

// TestLoweredLimitOutlivesQueue guards against hosts that have seen neither the lowered limit nor the queue and allow the failed
// runs of the time at which the job was accepted, when the limit was lowered before its queue was removed.
func TestLoweredLimitOutlivesQueue(t *testing.T) {
	runMixedSite(t, 1, 24, 1, largeLimits, func(x *mixedSite) {
		x.publish("14")
		x.advance(time.Second)
		x.failAllRuns(1500 * time.Millisecond)
		x.submitKnown(testJobID, "quiet", time.Second, jobs.Step{Tasks: 1, Accelerators: 1, Processors: 1, Estimate: time.Second})
		x.publish("21")
		x.advance(2500 * time.Millisecond)
		x.publish("25")
		x.advance(500 * time.Millisecond)
		x.replaceHosts()
		x.advance(20 * time.Second)
		require.Empty(t, x.runners.Faults())
		require.Empty(t, x.runners.FindRunning())
	})
}
