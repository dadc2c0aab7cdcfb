package host

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// extremeRecords returns a job and a unit of it, by the field that another writer has given the largest or an unusual value.
func extremeRecords() map[string]func(j *wire.BatchJob, u *wire.BatchUnit) {
	out := map[string]func(j *wire.BatchJob, u *wire.BatchUnit){
		"unknown result":  func(_ *wire.BatchJob, u *wire.BatchUnit) { u.Result = 99 },
		"negative result": func(_ *wire.BatchJob, u *wire.BatchUnit) { u.Result = -1 },
		"odd members": func(_ *wire.BatchJob, u *wire.BatchUnit) {
			u.Members = []*wire.BatchMember{{Worker: "\x00\n"}, nil, {}}
		},
		"many members":       func(_ *wire.BatchJob, u *wire.BatchUnit) { u.Members = make([]*wire.BatchMember, 10_000) },
		"stretch NaN":        func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.Stretch = math.NaN() },
		"stretch infinite":   func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.Stretch = math.Inf(1) },
		"urgency unknown":    func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.Urgency = 99 },
		"urgency negative":   func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.Urgency = -1 },
		"attempts negative":  func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.MaxAttempts = -1 },
		"no terms or queue":  func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms, j.Queue = nil, "none" },
		"service unknown":    func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.Service, j.Queue = "none", "none" },
		"names with control": func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Queue, j.Organisation = "\x00\n", "\x00\n" },
		"state of an end":    func(j *wire.BatchJob, _ *wire.BatchUnit) { j.State = 2 },
		"unknown state":      func(j *wire.BatchJob, _ *wire.BatchUnit) { j.State = 99 },
		"long label":         func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].Label = strings.Repeat("l", 200_000) },
		"many dependencies":  func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[1].After = make([]int32, 50_000) },
		"many steps": func(j *wire.BatchJob, _ *wire.BatchUnit) {
			for range 2000 {
				j.Steps = append(j.Steps, &wire.BatchStep{Tasks: 1, Accelerators: 1, After: []int32{0}, Label: "none"})
			}
		},
		"many occurrences": func(j *wire.BatchJob, _ *wire.BatchUnit) {
			j.Times = &wire.BatchTimes{Count: 10_000, EveryNanos: 1, FirstUnixNanos: time.Now().Add(time.Minute).UnixNano()}
		},
	}
	for _, n := range []int64{math.MinInt64, math.MaxInt64} {
		small := int32(max(math.MinInt32, min(math.MaxInt32, n)))
		for field, set := range map[string]func(j *wire.BatchJob, u *wire.BatchUnit){
			"accepted":   func(j *wire.BatchJob, _ *wire.BatchUnit) { j.AcceptedUnixNanos = n },
			"objective":  func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Terms.ObjectiveNanos = n },
			"estimate":   func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].EstimateNanos = n },
			"memory":     func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].MemoryBytes = n },
			"processors": func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].Processors = n },
			"gpus":       func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].Accelerators = small },
			"per worker": func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].PerWorker = small },
			"may miss":   func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Steps[0].MayMiss = small },
			"first": func(j *wire.BatchJob, _ *wire.BatchUnit) {
				j.Times = &wire.BatchTimes{Count: 3, FirstUnixNanos: n, EveryNanos: 1}
			},
			"interval": func(j *wire.BatchJob, _ *wire.BatchUnit) { j.Times = &wire.BatchTimes{Count: 3, EveryNanos: n} },
			"run":      func(_ *wire.BatchJob, u *wire.BatchUnit) { u.Run = small },
			"failures": func(_ *wire.BatchJob, u *wire.BatchUnit) { u.Failures = small },
			"progress": func(_ *wire.BatchJob, u *wire.BatchUnit) { u.ProgressNanos = n },
			"attempts": func(_ *wire.BatchJob, u *wire.BatchUnit) { u.MaxAttempts = small },
		} {
			out[fmt.Sprintf("%s %d", field, n)] = set
		}
	}
	return out
}

// TestExtremeRecordsDoNotCrashHosts guards against hosts that end, or run no other jobs, by a number in a record of another writer that is
// too large for what is computed from it.
func TestExtremeRecordsDoNotCrashHosts(t *testing.T) {
	const id = "00000000000000e1"
	for name, change := range extremeRecords() {
		t.Run(name, func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
				s.advance(2 * time.Second)
				j := &wire.BatchJob{
					Id: id, Organisation: "Gear", Queue: "urgent", AcceptedUnixNanos: time.Now().UnixNano(),
					Steps: []*wire.BatchStep{{Tasks: 2, Accelerators: 1, EstimateNanos: 1e9}, {Tasks: 1, Accelerators: 1, After: []int32{0}}},
					Terms: &wire.BatchTerms{MaxAttempts: 3, Stretch: 2, ObjectiveNanos: 1e9},
				}
				u := &wire.BatchUnit{Job: id, Run: 1, Result: wire.BatchResult(3)}
				change(j, u)
				job, err := proto.Marshal(j)
				require.NoError(t, err)
				unit, err := proto.Marshal(u)
				require.NoError(t, err)
				_, err = s.store.View("other").Append(s.t.Context(), port.Append{
					Topic: jobsTopic, Entries: []port.Entry{{Key: "j/" + id, Value: job}, {Key: "u/" + id + "/0/0", Value: unit}},
				})
				require.NoError(t, err)
				s.advance(3 * time.Second)
				require.NoError(t, s.submit("b", testJobID, "urgent", gangStep(2, 2)))
				s.requireEnded(intake.Completed, 10*time.Second)
				s.kill(s.owner())
				s.advance(5 * time.Second)
				for h := range s.hosts {
					require.NoError(t, s.submit(h, "00000000000000ab", "urgent", gangStep(2, 2)))
				}
				s.requireEnded(intake.Completed, 15*time.Second)
			})
		})
	}
}
