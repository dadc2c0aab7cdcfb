package exec

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
)

// evacuable is a rig of 6 workers, the first two in failure domain a, the next two in b and the others in c.
type evacuable struct {
	*rig
	log    queue.EvacuationLog
	offset int64
	now    atomic.Pointer[queue.Evacuations]

	mu sync.Mutex
	// sent counts the calls that start a task, by worker.
	sent map[string]int
	// intercept handles the calls that start a task if it is set.
	intercept func(s port.RunStart) error
}

func runEvacuable(t *testing.T, f func(x *evacuable)) {
	t.Helper()
	runInRig(t, 6, runsTaking(2*time.Second), func(r *rig) {
		x := &evacuable{rig: r, sent: map[string]int{}}
		r.stop()
		for i := range r.workers {
			r.workers[i].Domain = []string{"a", "b", "c"}[i/2]
		}
		x.now.Store(&queue.Evacuations{})
		r.change = func(d *Deps) {
			d.Evacuations = x.now.Load
			start := d.Runners.Start
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				if err := x.note(s); err != nil {
					return 0, err
				}
				return start(ctx, to, s)
			}
		}
		r.start(2)
		r.advance(time.Second)
		f(x)
	})
}

func (x *evacuable) note(s port.RunStart) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent[s.Worker]++
	if x.intercept == nil {
		return nil
	}
	return x.intercept(s)
}

// setEvacuated requests or withdraws the evacuation of failure domains.
func (x *evacuable) setEvacuated(is bool, domains ...string) {
	for _, d := range domains {
		x.offset++
		x.log.Apply(queue.EvacuationChange{Domain: d, Offset: x.offset, IsWithdrawn: !is}, time.Now())
	}
	x.now.Store(x.log.InForce())
}

// countSent returns the calls that started a task on the workers of failure domains.
func (x *evacuable) countSent(domains ...string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, w := range x.workers {
		for _, d := range domains {
			if w.Domain == d {
				n += x.sent[w.Name]
			}
		}
	}
	return n
}

// TestNothingStartsInEvacuatedDomain guards against work of any kind that starts in a failure domain after the operator has asked for
// its evacuation, and against work that stays away or stands still afterwards.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	wide := taskStep(30)
	for name, c := range map[string]struct {
		domains []string
		step    jobs.Step
	}{
		"one":         {[]string{"a"}, wide},
		"two":         {[]string{"a", "c"}, wide},
		"gang":        {[]string{"a"}, jobs.Step{Tasks: 4, Gang: true, Accelerators: 4, Estimate: time.Second}},
		"adjacent":    {[]string{"a", "b"}, jobs.Step{Tasks: 2, Gang: true, Adjacent: true, Accelerators: 8, Estimate: time.Second}},
		"lasting":     {[]string{"a", "b"}, jobs.Step{Tasks: 6, Lasts: true, Accelerators: 1, Estimate: time.Second}},
		"checkpoints": {[]string{"b"}, jobs.Step{Tasks: 60, Checkpoints: true, Accelerators: 1, Estimate: time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuable(t, func(x *evacuable) {
				x.submit(testID, c.step)
				x.advance(500 * time.Millisecond)
				x.setEvacuated(true, c.domains...)
				before := x.countSent(c.domains...)
				for i := range 4 {
					x.submit([]string{"00000000000000b0", "00000000000000b1", "00000000000000b2", "00000000000000b3"}[i], c.step)
					x.advance(3 * time.Second)
				}
				require.Equal(t, before, x.countSent(c.domains...), "starts in %v", c.domains)
				require.NotZero(t, x.countSent("a", "b", "c")-before)
				if !c.step.Lasts {
					x.waitForState(testID, jobs.Completed, 10*time.Second)
					x.waitForState("00000000000000b3", jobs.Completed, 20*time.Second)
				}
				x.setEvacuated(false, c.domains...)
				x.submit("00000000000000b4", taskStep(48))
				x.advance(2 * time.Second)
				require.Greater(t, x.countSent(c.domains...), before, "capacity does not return")
			})
		})
	}
}

// TestEvacuationOfAllDomainsHoldsAllWork guards against work that starts, is lost or is refused while every failure domain is evacuated.
func TestEvacuationOfAllDomainsHoldsAllWork(t *testing.T) {
	runEvacuable(t, func(x *evacuable) {
		x.submit(testID, taskStep(12))
		x.advance(500 * time.Millisecond)
		x.setEvacuated(true, "a", "b", "c")
		before := x.countSent("a", "b", "c")
		x.submit("00000000000000b0", taskStep(12))
		x.waitForState(testID, jobs.Completed, 5*time.Second)
		x.advance(10 * time.Second)
		require.Equal(t, before, x.countSent("a", "b", "c"))
		for _, v := range x.engine.FindWorkers() {
			require.Equal(t, plan.WorkerEvacuated, v.State)
		}
		x.setEvacuated(false, "b")
		x.waitForState("00000000000000b0", jobs.Completed, 5*time.Second)
		require.Equal(t, before, x.countSent("a", "c")+x.countSent("b")-12)
	})
}

// TestStoredStartIsWithheldInEvacuatedDomain guards against a start that was planned before the evacuation and is sent after it, as the
// store took long to take its record.
func TestStoredStartIsWithheldInEvacuatedDomain(t *testing.T) {
	for name, step := range map[string]jobs.Step{"tasks": taskStep(30), "gang": {Tasks: 6, Gang: true, Accelerators: 5, Estimate: time.Second}} {
		t.Run(name, func(t *testing.T) {
			runEvacuable(t, func(x *evacuable) {
				x.store.SetDelay(700 * time.Millisecond)
				x.submit(testID, step)
				until := time.Now().Add(5 * time.Second)
				for x.phases(testID)[phaseStoring] == 0 {
					require.True(t, time.Now().Before(until))
					x.advance(10 * time.Millisecond)
				}
				x.setEvacuated(true, "a", "b")
				x.advance(time.Second)
				x.store.SetDelay(2 * time.Millisecond)
				x.advance(5 * time.Second)
				require.Zero(t, x.countSent("a", "b"))
				if name == "tasks" {
					x.waitForState(testID, jobs.Completed, 20*time.Second)
				}
				x.setEvacuated(false, "a", "b")
				x.waitForState(testID, jobs.Completed, 20*time.Second)
			})
		})
	}
}

// TestUnansweredStartIsNotRepeatedInEvacuatedDomain guards against a start that is repeated after the evacuation because it was not
// answered, whether the worker has executed it or not.
func TestUnansweredStartIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	for name, cause := range map[string]error{"unanswered": errors.New("no answer"), "unsent": port.ErrUnsent, "unhealthy": port.ErrUnhealthy} {
		for kind, step := range map[string]jobs.Step{"tasks": taskStep(30), "gang": {Tasks: 6, Gang: true, Accelerators: 5, Estimate: time.Second}} {
			t.Run(name+" "+kind, func(t *testing.T) {
				runEvacuable(t, func(x *evacuable) {
					isEvacuated := false
					x.intercept = func(s port.RunStart) error {
						if s.Worker == "w0" && !isEvacuated {
							return cause
						}
						return nil
					}
					x.submit(testID, step)
					for until := time.Now().Add(5 * time.Second); x.countSent("a") == 0; x.advance(time.Millisecond) {
						require.True(t, time.Now().Before(until), "no start was sent")
					}
					x.advance(20 * time.Millisecond)
					x.mu.Lock()
					isEvacuated = true
					x.mu.Unlock()
					x.setEvacuated(true, "a")
					before := x.countSent("a")
					x.advance(6 * time.Second)
					require.Equal(t, before, x.countSent("a"))
					x.setEvacuated(false, "a")
					x.waitForState(testID, jobs.Completed, 20*time.Second)
				})
			})
		}
	}
}

// TestNextOwnerObeysEvacuation guards against a new owner that starts work in an evacuated failure domain: it takes over running work,
// one worker has ended, and it may not know the evacuations for a while.
func TestNextOwnerObeysEvacuation(t *testing.T) {
	runEvacuable(t, func(x *evacuable) {
		x.submit(testID, taskStep(48))
		x.advance(500 * time.Millisecond)
		x.setEvacuated(true, "a")
		known := x.now.Load()
		x.now.Store(nil)
		before := x.countSent("a")
		all := x.countSent("a", "b", "c")
		x.kill(x.workers[1])
		x.restart()
		x.submit("00000000000000b0", taskStep(20))
		x.advance(3 * time.Second)
		require.Equal(t, all, x.countSent("a", "b", "c"), "work starts before the evacuations are known")
		x.now.Store(known)
		x.advance(12 * time.Second)
		require.Equal(t, before, x.countSent("a"))
		x.waitForState("00000000000000b0", jobs.Completed, 10*time.Second)
		x.waitForState(testID, jobs.Completed, 20*time.Second)
	})
}
