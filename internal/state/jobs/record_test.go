package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecordsOfUnitsAreSmall guards against growth of the unit records: the store receives one for each start and each
// end of an independent task.
func TestRecordsOfUnitsAreSmall(t *testing.T) {
	u := &Unit{
		Key: UnitKey{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, Run: 2, Checkpoint: "00000bb87a21d94b",
		Progress: time.Second, Members: []Member{{Worker: "i-2b24156f72", Instance: "1770477836046"}},
	}
	for _, r := range []Result{Running, Done} {
		u.Result = r
		x, err := UnitRecord(u)
		require.NoError(t, err)
		t.Logf("result %d: value of %d bytes, key of %d bytes", r, len(x.Value), len(x.Key))
		require.Less(t, len(x.Value), 100)
	}
}

// TestUnitRecordKeepsSettledMembers guards against a run that counts as placed on a settled lifetime though its record, which may be of an
// earlier version, does not say so; an earlier version leaves the field out, as protobuf does for false.
func TestUnitRecordKeepsSettledMembers(t *testing.T) {
	u := &Unit{Key: UnitKey{Job: "5c0e7a21d94b36f8"}, Run: 1, Members: []Member{{Worker: "w0", Instance: "1", IsSettled: true}, {Worker: "w1", Instance: "2"}}}
	x, err := UnitRecord(u)
	require.NoError(t, err)
	got, err := decodeUnit(x.Value)
	require.NoError(t, err)
	require.Equal(t, u.Members, got.Members)
	u.Members[0].IsSettled = false
	old, err := UnitRecord(u)
	require.NoError(t, err)
	require.Len(t, old.Value, len(x.Value)-2)
}
