package exec

import (
	"context"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// storeCallBytes is the largest append that the store takes in the test, below that of the platform.
const storeCallBytes = 3 << 19

// TestEndOfLargeJobIsStored guards against an end that the store never takes: the records of all units of a large job are dropped with it,
// which is more than one call may hold, and nothing of the owner is stored after it.
func TestEndOfLargeJobIsStored(t *testing.T) {
	const tasks = 70_000
	runInRig(t, 2, runsTaking(time.Second), func(r *rig) {
		r.stop()
		r.change = func(d *Deps) {
			store := d.Store
			d.Store.Append = func(ctx context.Context, a port.Append) (port.Appended, error) {
				size := 0
				for _, e := range a.Entries {
					size += len(e.Key) + len(e.Value) + 5
				}
				if size > storeCallBytes {
					return port.Appended{}, port.ErrNotExecuted
				}
				return store.Append(ctx, a)
			}
		}
		r.submit(testID, taskStep(tasks))
		done := port.Append{Topic: testJobs}
		for i := range tasks - 1 {
			u, err := jobs.UnitRecord(&jobs.Unit{Key: jobs.UnitKey{Job: testID, Index: i}, Run: 1, Result: jobs.Done})
			require.NoError(r.t, err)
			done.Entries = append(done.Entries, port.Entry{Key: u.Key, Value: u.Value})
		}
		_, err := r.store.View("b").Append(r.t.Context(), done)
		require.NoError(r.t, err)
		r.advance(time.Second)
		r.start(2)
		r.waitForState(testID, jobs.Completed, 10*time.Second)
		r.submit("00000000000000b0", taskStep(1))
		r.waitForState("00000000000000b0", jobs.Completed, 10*time.Second)
		r.advance(time.Second)
		require.Len(r.t, r.store.Keys(testJobs), 2, "records of units are left")
	})
}
