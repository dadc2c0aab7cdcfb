package sched

import (
	"testing"

	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// Guards against a worker's report making a leaving worker available again: the report does not contain the leaving
// state, which only the platform's list knows.
func TestReportKeepsWorkerLeaving(t *testing.T) {
	s := New("east", WithGangs(gang.New()))
	r := newOwnership(t.Context(), s, fleet.Term{Counter: 1, Host: "east-1"})
	s.ownership = r
	w := fleet.Worker{Name: "w1", Rack: "r1", Slots: 8, Accelerators: 8}
	leaving := w
	leaving.Leaving = true
	r.putWorker(leaving)

	s.ReportWorker(fleet.Report{Worker: w})
	(<-r.inbox)()
	require.True(t, r.planner.FindWorkers()[0].Worker.Leaving)
}
