package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnitsOfUnknownJobTakeOnePlaceEach guards against memory that grows with each record of another writer for the same unit of a job
// that nobody has stored.
func TestUnitsOfUnknownJobTakeOnePlaceEach(t *testing.T) {
	const id = "00000000000000aa"
	table := NewTable()
	for run := range 1000 {
		r, err := UnitRecord(&Unit{Key: UnitKey{Job: id}, Run: run})
		require.NoError(t, err)
		require.NoError(t, table.Apply(int64(run), r))
	}
	require.Len(t, table.orphans[id], 1)
	j, err := JobRecord(&Job{ID: id, Steps: []Step{{Tasks: 2}}})
	require.NoError(t, err)
	require.NoError(t, table.Apply(1000, j))
	table.View(id, func(j *Job) { require.Equal(t, 999, j.GetUnit(UnitKey{Job: id}).Run) })
	require.Empty(t, table.orphans)
}
