package replay

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// largeGang is the number of accelerators at and above which a gang counts as large.
const largeGang = 32

// metrics accumulates measurements during a replay.
type metrics struct {
	// last is the time of the last sample.
	last time.Time
	// stranded and scattered are integrals over queuedTime, in seconds.
	stranded  float64
	scattered float64
	// queuedTime is the time during which jobs were queued.
	queuedTime time.Duration
	// lost counts accelerator seconds that have to be repeated.
	lost  float64
	stops int
	// fragmentation and hasQueued are those of the last sample.
	fragmentation place.Fragmentation
	hasQueued     bool
}

// addLost counts run time that a gang has to repeat.
func (m *metrics) addLost(r *jobState, t time.Duration) {
	m.lost += float64(max(r.job.Shape.TotalAccelerators(), 1)) * max(t, 0).Seconds()
}

// sample integrates the fragmentation for the queued shapes over the time since the last sample, if jobs were queued.
func (m *metrics) sample(d *Driver) {
	if !m.last.IsZero() && m.hasQueued {
		t := d.now.Sub(m.last)
		m.queuedTime += t
		m.stranded += m.fragmentation.Share() * t.Seconds()
		m.scattered += m.fragmentation.Scattered * t.Seconds()
	}
	m.last = d.now
	m.fragmentation = place.Fragmentation{}
	ts := d.targets()
	m.hasQueued = len(ts) > 0
	if m.hasQueued {
		m.fragmentation = d.ledger.Fragmentation(ts, (*place.Site).Free)
	}
}

// targets returns the queued shapes, weighted by their accelerators.
func (d *Driver) targets() []place.Target {
	var ss []fleet.Shape
	for _, r := range d.jobs {
		if r.outcome == "" && r.placement == nil {
			ss = append(ss, r.job.Shape)
		}
	}
	return place.NewTargets(ss, 0)
}

// Class summarises the jobs of one urgency, or all large gangs.
type Class struct {
	Jobs int
	// Median, Tail (95th percentile) and Worst are completion times; unfinished jobs count until the end of the replay.
	Median, Tail, Worst time.Duration
	// Wait and LongestWait are the mean and the longest time from submission to the first start.
	Wait, LongestWait time.Duration
}

// Report is the result of one replay.
type Report struct {
	Trace, Policy string
	Urgencies     map[config.Urgency]Class
	Large         Class
	// Late counts the urgent jobs that started after the wait bound of their profile, Urgent all urgent jobs.
	Late, Urgent int
	// InTime counts the jobs that met their turnaround targets, Timed all jobs that have one.
	InTime, Timed int
	// GuaranteedWait is the longest wait of a job within its guarantee.
	GuaranteedWait time.Duration
	// Stranded and Scattered are the mean fragmentation over the time with queued jobs; see place.Fragmentation.
	Stranded, Scattered float64
	// LostSeconds is the work that had to be repeated, in accelerator seconds.
	LostSeconds float64
	Stops       int
	Outcomes    map[string]int
	Refused     []string
	Unfinished  []string
}

func (d *Driver) report(trace string) Report {
	x := Report{
		Trace: trace, Policy: d.policy.Name, Urgencies: map[config.Urgency]Class{}, Outcomes: map[string]int{},
		Stranded:    d.metrics.stranded / max(d.metrics.queuedTime.Seconds(), 1),
		Scattered:   d.metrics.scattered / max(d.metrics.queuedTime.Seconds(), 1),
		LostSeconds: d.metrics.lost, Stops: d.metrics.stops,
	}
	x.Timed, x.InTime = d.countInTime()
	byUrgency := map[config.Urgency][]*jobState{}
	var large []*jobState
	for _, id := range sortedKeys(d.jobs) {
		r := d.jobs[id]
		kind, _, _ := strings.Cut(r.outcome, ":")
		switch kind {
		case "":
			kind = "Unfinished"
			x.Unfinished = append(x.Unfinished, id)
			r.ended = d.end
		case "Refused":
			x.Refused = append(x.Refused, id)
		default:
		}
		x.Outcomes[kind]++
		if kind != "Done" && kind != "Unfinished" {
			continue
		}
		u := d.config.Profiles[r.job.Profile].Urgency
		byUrgency[u] = append(byUrgency[u], r)
		if r.job.Shape.TotalAccelerators() >= largeGang {
			large = append(large, r)
		}
		if u == config.Urgent {
			x.Urgent++
			if d.wait(r) > d.config.Profiles[r.job.Profile].WaitBound {
				x.Late++
			}
		}
	}
	for u, rs := range byUrgency {
		x.Urgencies[u] = d.classOf(rs)
	}
	x.Large = d.classOf(large)
	x.GuaranteedWait = d.guaranteedWait()
	return x
}

func (d *Driver) wait(r *jobState) time.Duration {
	if r.first.IsZero() {
		return r.ended.Sub(r.job.Submitted)
	}
	return r.first.Sub(r.job.Submitted)
}

func (d *Driver) classOf(rs []*jobState) Class {
	c := Class{Jobs: len(rs)}
	if len(rs) == 0 {
		return c
	}
	var ds []time.Duration
	var sum time.Duration
	for _, r := range rs {
		w := d.wait(r)
		sum += w
		c.LongestWait = max(c.LongestWait, w)
		ds = append(ds, r.ended.Sub(r.job.Submitted))
	}
	slices.Sort(ds)
	c.Wait = sum / time.Duration(len(rs))
	c.Median = ds[len(ds)/2]
	c.Tail = ds[(len(ds)-1)*95/100]
	c.Worst = ds[len(ds)-1]
	return c
}

// guaranteedWait returns the longest wait of a job that was within its guarantee while it waited: the jobs of the
// guarantee that were queued or running in that time, itself included, were no more than the guaranteed gangs.
func (d *Driver) guaranteedWait() time.Duration {
	var worst time.Duration
	for _, n := range plan.GuaranteeNeeds(domainOf(d.config), d.config.Profiles) {
		var rs []*jobState
		for _, r := range d.jobs {
			if r.job.Organisation == n.Organisation && r.job.Profile == n.Profile && hold.IsCover(n.Shape, r.job.Shape) {
				rs = append(rs, r)
			}
		}
		for _, r := range rs {
			from, to := r.job.Submitted, r.job.Submitted.Add(d.wait(r))
			open := 0
			for _, o := range rs {
				end := o.ended
				if end.IsZero() {
					end = d.end
				}
				if o.job.Submitted.Before(to) && end.After(from) {
					open++
				}
			}
			if open <= n.Gangs {
				worst = max(worst, d.wait(r))
			}
		}
	}
	return worst
}

// domainOf returns the failure domain of the guarantees; a trace has only one.
func domainOf(c config.Config) string {
	for _, p := range c.Profiles {
		for _, g := range p.Guarantees {
			return g.Domain
		}
	}
	return ""
}

// WriteTable writes the reports as an aligned table.
func WriteTable(w io.Writer, rs []Report) error {
	var b strings.Builder
	b.WriteString("trace\tpolicy\tclass\tjobs\tmedian\tp95\tworst\twait\tlate\tstranded\tscattered\tlost acc-s\tstops\tguaranteed\n")
	for _, r := range rs {
		for i, u := range []config.Urgency{config.Urgent, config.Normal, config.Quiet, "Large"} {
			c := r.Urgencies[u]
			if u == "Large" {
				c = r.Large
			}
			if c.Jobs == 0 && i > 0 {
				continue
			}
			fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s", r.Trace, r.Policy, u, c.Jobs, formatDuration(c.Median), formatDuration(c.Tail), formatDuration(c.Worst), formatDuration(c.Wait))
			if i == 0 {
				fmt.Fprintf(&b, "\t%d/%d\t%.3f\t%.3f\t%.0f\t%d\t%s", r.Late, r.Urgent, r.Stranded, r.Scattered, r.LostSeconds, r.Stops, formatDuration(r.GuaranteedWait))
			}
			b.WriteByte('\n')
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return fmt.Errorf("write report table: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report table: %w", err)
	}
	return nil
}

func formatDuration(d time.Duration) string {
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
