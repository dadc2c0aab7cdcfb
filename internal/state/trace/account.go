package trace

import (
	"cmp"
	"slices"
	"time"
)

// Key selects what the jobs of an account are grouped by.
type Key string

// Keys of an account.
const (
	ByQueue        Key = "Queue"
	ByOrganisation Key = "Organisation"
	ByDomain       Key = "Domain"
	ByWindow       Key = "Window"
)

// window is the length of the periods of an account by ByWindow.
const window = 2 * time.Second

// Row sums up the jobs of one group.
type Row struct {
	Group string
	// Jobs counts the accepted jobs, Rejected those that no host accepted.
	Jobs     int
	Rejected int
	Open     int
	Failed   int
	Late     int
	// Spent is the time of all jobs that ended, by cause.
	Spent map[Cause]time.Duration
	// LateBy counts the late jobs by the cause, other than their work, that took most of their time.
	LateBy map[Cause]int
}

// Account groups all jobs and sums up what their time was spent on, ordered by group.
func (l *Log) Account(by Key) []Row {
	h := l.history()
	rows := map[string]*Row{}
	var start time.Time
	if len(l.lines) > 0 {
		start = l.lines[0].At
	}
	for _, j := range h.jobs {
		name := j.group(by, start)
		r := rows[name]
		if r == nil {
			r = &Row{Group: name, Spent: map[Cause]time.Duration{}, LateBy: map[Cause]int{}}
			rows[name] = r
		}
		r.add(j, h.explain(j))
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// group returns the group of a job. A job that was never accepted has no queue and no organisation.
func (j *Job) group(by Key, start time.Time) string {
	switch by {
	case ByOrganisation:
		return cmp.Or(j.Organisation, "-")
	case ByWindow:
		at := j.firstSeen().Sub(start).Truncate(window)
		return start.Add(at).UTC().Format("15:04:05")
	case ByDomain:
		return cmp.Or(j.Domain, "-")
	case ByQueue:
	}
	return cmp.Or(j.Queue, "-")
}

func (r *Row) add(j *Job, parts []Part) {
	if j.Accepted.IsZero() {
		r.Rejected++
		return
	}
	r.Jobs++
	switch {
	case j.Ended.IsZero():
		r.Open++
	case j.State == "Failed":
		r.Failed++
	}
	spent := map[Cause]time.Duration{}
	for _, p := range parts {
		spent[p.Cause] += p.To.Sub(p.From)
		r.Spent[p.Cause] += p.To.Sub(p.From)
	}
	if !j.IsLate() {
		return
	}
	r.Late++
	most := Queued
	for _, c := range Causes {
		if c != Worked && spent[c] > spent[most] {
			most = c
		}
	}
	r.LateBy[most]++
}
