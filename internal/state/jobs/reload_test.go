package jobs

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// history is the log of a store with the records that hosts and owners append, and a table that follows it.
type history struct {
	t     *rapid.T
	log   []StoredRecord
	table *Table
	// next is the offset from which the table is read on; a writer of the host may have applied records above it.
	next int64
	// accepted, started, cancelled, ended and purged tell what the log says of each job.
	accepted, cancelled, ended, purged map[string]bool
	runs                               map[UnitKey]int
	// seen is what an engine knows of each open job: whether it was cancelled when the engine last looked.
	seen map[string]bool
}

var historyIDs = []string{"00000000000000aa", "00000000000000bb", "00000000000000cc"}

func newHistory(t *rapid.T) *history {
	return &history{
		t: t, table: NewTable(), accepted: map[string]bool{}, cancelled: map[string]bool{}, ended: map[string]bool{},
		purged: map[string]bool{}, runs: map[UnitKey]int{}, seen: map[string]bool{},
	}
}

func (h *history) end() int64 { return int64(len(h.log)) }

// append appends records; the writer of the host may apply them at once.
func (h *history) append(rs ...Record) {
	isWritten := rapid.Bool().Draw(h.t, "written here")
	for _, r := range rs {
		x := StoredRecord{Record: r, Offset: h.end()}
		h.log = append(h.log, x)
		if isWritten {
			require.NoError(h.t, h.table.Apply(x.Offset, x.Record))
		}
	}
}

func (h *history) drawID() string { return rapid.SampledFrom(historyIDs).Draw(h.t, "job") }

// drawOpen returns an accepted job that has not ended, or skips the action.
func (h *history) drawOpen() string {
	id := h.drawID()
	if !h.accepted[id] || h.ended[id] {
		h.t.Skip("not open")
	}
	return id
}

func (h *history) record(r Record, err error) Record {
	require.NoError(h.t, err)
	return r
}

// accept stores a job, or stores it again at a host that has not read its record or its end yet.
func (h *history) accept(*rapid.T) {
	id := h.drawID()
	if h.purged[id] {
		h.t.Skip("purged")
	}
	h.accepted[id] = true
	h.append(h.record(JobRecord(&Job{ID: id, Accepted: time.Unix(0, 0), Steps: []Step{{Tasks: 2}}})))
}

// run stores the start of a run or the end of the newest one.
func (h *history) run(*rapid.T) {
	k := UnitKey{Job: h.drawOpen(), Index: rapid.IntRange(0, 1).Draw(h.t, "task")}
	h.runs[k]++
	u := &Unit{Key: k, Run: (h.runs[k] + 1) / 2, Result: Stopped}
	if h.runs[k]%2 == 1 {
		u.Result = Running
	}
	h.append(h.record(UnitRecord(u)))
}

// cancel stores a cancellation, which may come after the end.
func (h *history) cancel(*rapid.T) {
	id := h.drawID()
	if !h.accepted[id] || h.purged[id] {
		h.t.Skip("not known")
	}
	h.cancelled[id] = true
	h.append(CancelRecord(id))
}

// finish stores the end of a job as owners do.
func (h *history) finish(*rapid.T) {
	h.finishJob(h.drawOpen())
}

func (h *history) finishJob(id string) {
	h.ended[id] = true
	var rs []Record
	for k := range h.runs {
		if k.Job == id {
			rs = append(rs, UnitTombstone(k))
		}
	}
	rs = append(rs, h.record(EndRecord(&Job{ID: id, State: Completed})), JobTombstone(id))
	if h.cancelled[id] {
		rs = append(rs, CancelTombstone(id))
	}
	h.append(rs...)
}

// purge deletes the end of a job as owners do, long after all hosts have read it.
func (h *history) purge(*rapid.T) {
	id := h.drawID()
	if !h.ended[id] || h.purged[id] {
		h.t.Skip("not ended")
	}
	h.followAll()
	h.purged[id] = true
	h.append(PurgeRecords(id)...)
}

// follow applies some of the records that were not read yet.
func (h *history) follow(*rapid.T) {
	for range rapid.IntRange(0, 4).Draw(h.t, "records") {
		h.followOne()
	}
}

func (h *history) followAll() {
	for h.next < h.end() {
		h.followOne()
	}
}

func (h *history) followOne() {
	if h.next < h.end() {
		x := h.log[h.next]
		require.NoError(h.t, h.table.Apply(x.Offset, x.Record))
		h.next++
	}
}

// newest returns the newest records of keys in a range, as the store has them at present.
func (h *history) newest(from, to string) []StoredRecord {
	by := map[string]StoredRecord{}
	for _, x := range h.log {
		if x.Key < from || x.Key >= to {
			continue
		}
		by[x.Key] = x
		if len(x.Value) == 0 {
			delete(by, x.Key)
		}
	}
	return slices.SortedFunc(maps.Values(by), func(x, y StoredRecord) int { return cmp.Compare(x.Key, y.Key) })
}

// reload reads the newest records in two pages, with more records appended in between, and follows on from the first page.
func (h *history) reload(t *rapid.T) {
	border := rapid.SampledFrom([]string{"c", "e", "f", "j/00000000000000bb", "k", "u/00000000000000bb", "v"}).Draw(h.t, "border")
	before := h.end()
	rs := h.newest("", border)
	for range rapid.IntRange(0, 2).Draw(h.t, "appends") {
		x := rapid.SampledFrom([]func(*rapid.T){h.accept, h.finishAny}).Draw(h.t, "append")
		x(t)
	}
	rs = append(rs, h.newest(border, "z")...)
	require.NoError(h.t, h.table.Reload(rs, before))
	h.next = before
}

// finishAny is finish for the first job for which it is possible.
func (h *history) finishAny(*rapid.T) {
	for _, id := range historyIDs {
		if h.accepted[id] && !h.ended[id] {
			h.finishJob(id)
			return
		}
	}
}

// look makes the engine look at the jobs that changed.
func (h *history) look(*rapid.T) {
	for _, id := range h.table.TakeChanged() {
		h.table.View(id, func(j *Job) {
			if j == nil || j.State != Open {
				delete(h.seen, id)
				return
			}
			h.seen[id] = j.IsCancelling
		})
	}
}

// describe returns what a table says of all jobs.
func describe(t *Table) string {
	out := ""
	for _, id := range historyIDs {
		t.View(id, func(j *Job) {
			if j == nil {
				return
			}
			out += fmt.Sprintf("%s: state %d", id, j.State)
			if j.State == Open {
				out += fmt.Sprintf(", cancelling %v", j.IsCancelling)
				for _, k := range j.UnitKeys(0, 0) {
					if u := j.GetUnit(k); u != nil {
						out += fmt.Sprintf(", task %d run %d result %d", k.Index, u.Run, u.Result)
					}
				}
			}
			out += "\n"
		})
	}
	return out
}

// TestTableAgreesWithLogAfterReloads guards against accepted jobs that drop out of sight, and against ended ones that come back:
// a table that is reloaded at any time, beside a follower and a writer that applies its own records early, must come to what
// the log says, and its engine must have looked at every open job.
func TestTableAgreesWithLogAfterReloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept": h.accept, "run": h.run, "cancel": h.cancel, "finish": h.finish, "purge": h.purge, "follow": h.follow,
			"reload": h.reload, "look": h.look,
		})
		h.followAll()
		h.look(t)
		want := NewTable()
		for _, x := range h.log {
			require.NoError(t, want.Apply(x.Offset, x.Record))
		}
		require.Equal(t, describe(want), describe(h.table))
		for _, id := range h.table.FindOpen() {
			isCancelling, isSeen := h.seen[id]
			require.True(t, isSeen, "the engine has not looked at %s", id)
			h.table.View(id, func(j *Job) { require.Equal(t, j.IsCancelling, isCancelling) })
		}
	})
}

// TestReloadKeepsNewerRecords guards against answers that go back in time: what a writer of the host has applied above the offset
// of a reload stays, as the reload may lack it.
func TestReloadKeepsNewerRecords(t *testing.T) {
	const id, before = "00000000000000aa", 10
	job, err := JobRecord(&Job{ID: id, Accepted: time.Unix(0, 0), Steps: []Step{{Tasks: 2}}})
	require.NoError(t, err)
	end, err := EndRecord(&Job{ID: id, State: Completed})
	require.NoError(t, err)
	run, err := UnitRecord(&Unit{Key: UnitKey{Job: id}, Run: 2, Result: Running})
	require.NoError(t, err)
	for name, newer := range map[string]Record{"job": job, "run": run, "end": end, "cancellation": CancelRecord(id)} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			old := []StoredRecord{{Record: job, Offset: 1}}
			if name == "job" {
				old = nil
			}
			require.NoError(t, table.Reload(old, before))
			require.NoError(t, table.Apply(before, newer))
			want := describe(table)
			require.NotEmpty(t, want)
			table.TakeChanged()
			require.NoError(t, table.Reload(old, before))
			require.Equal(t, want, describe(table))
			require.Equal(t, []string{id}, table.TakeChanged())
		})
	}
}
