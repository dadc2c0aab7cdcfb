package intake

import (
	"testing"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestLargeJobsThatArriveTogetherShareTheRoom guards against jobs of very many tasks that arrive at the same time: each
// would find the memory free, and all of them together would exhaust it. Small jobs still find room.
func TestLargeJobsThatArriveTogetherShareTheRoom(t *testing.T) {
	var r room
	m := Limits{JobMemory: 64 * fleet.Megabyte}
	table := jobs.NewTable()
	large := (&jobs.Job{Steps: []jobs.Step{{Tasks: 10_000}}}).Footprint()
	var releases []func()
	for range 2 {
		release, err := r.take(table, large, m)
		require.NoError(t, err)
		releases = append(releases, release)
	}
	_, err := r.take(table, large, m)
	var busy ErrBusy
	require.ErrorAs(t, err, &busy)
	require.True(t, busy.IsFull)
	_, err = r.take(table, (&jobs.Job{Steps: []jobs.Step{{Tasks: 10}}}).Footprint(), m)
	require.NoError(t, err)
	releases[0]()
	_, err = r.take(table, large, m)
	require.NoError(t, err)
	_, err = r.take(table, 4*large, m)
	require.ErrorIs(t, err, ErrInvalid)
}
