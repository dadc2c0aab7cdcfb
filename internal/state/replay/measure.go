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

// largeGang is the number of accelerators from which a gang counts as large.
const largeGang = 32

// measure adds up over a replay.
type measure struct {
	last      time.Time
	stranded  float64
	scattered float64
	span      time.Duration
	lost      float64
	stops     int
	state     place.Fragmentation
	waiting   bool
}

// lose counts run time that a gang has to repeat.
func (m *measure) lose(r *record, t time.Duration) {
	m.lost += float64(max(r.job.Shape.TotalAccelerators(), 1)) * max(t, 0).Seconds()
}

// note weighs the fragmentation for the queued shapes since the last note by time, while jobs wait.
func (m *measure) note(d *Driver) {
	if !m.last.IsZero() && m.waiting {
		t := d.now.Sub(m.last)
		m.span += t
		m.stranded += m.state.Share() * t.Seconds()
		m.scattered += m.state.Scattered * t.Seconds()
	}
	m.last = d.now
	m.state = place.Fragmentation{}
	ts := d.targets()
	m.waiting = len(ts) > 0
	if m.waiting {
		m.state = d.books.Fragmentation(ts, (*place.Site).Free)
	}
}

// targets returns the queued shapes, weighed by their accelerators.
func (d *Driver) targets() []place.Target {
	var ss []fleet.Shape
	for _, r := range d.jobs {
		if r.outcome == "" && r.placement == nil {
			ss = append(ss, r.job.Shape)
		}
	}
	return place.NewTargets(ss, 0)
}

// Class is what became of the jobs of one urgency, or of all large gangs.
type Class struct {
	Jobs int
	// Median, Tail (95%) and Worst are completion times; jobs that never ended count until the end of the replay.
	Median, Tail, Worst time.Duration
	// Wait and LongestWait are the mean and the longest time before the first start.
	Wait, LongestWait time.Duration
}

// Report is the result of one replay.
type Report struct {
	Trace, Policy string
	Urgencies     map[config.Urgency]Class
	Large         Class
	// Late counts urgent jobs that started after the bound of their profile.
	Late, Urgent int
	// GuaranteedWait is the longest wait of a job within its guarantee.
	GuaranteedWait time.Duration
	// Stranded and Scattered are the mean fragmentation over time, as place.Fragmentation defines it.
	Stranded, Scattered float64
	// LostSeconds counts accelerator seconds that had to be repeated.
	LostSeconds float64
	Stops       int
	Outcomes    map[string]int
	Refused     []string
	Unfinished  []string
}

func (d *Driver) report(trace string) Report {
	x := Report{
		Trace: trace, Policy: d.policy.Name, Urgencies: map[config.Urgency]Class{}, Outcomes: map[string]int{},
		Stranded:    d.measure.stranded / max(d.measure.span.Seconds(), 1),
		Scattered:   d.measure.scattered / max(d.measure.span.Seconds(), 1),
		LostSeconds: d.measure.lost, Stops: d.measure.stops,
	}
	by := map[config.Urgency][]*record{}
	var large []*record
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
		by[u] = append(by[u], r)
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
	for u, rs := range by {
		x.Urgencies[u] = d.class(rs)
	}
	x.Large = d.class(large)
	x.GuaranteedWait = d.guaranteedWait()
	return x
}

func (d *Driver) wait(r *record) time.Duration {
	if r.first.IsZero() {
		return r.ended.Sub(r.job.Submitted)
	}
	return r.first.Sub(r.job.Submitted)
}

func (d *Driver) class(rs []*record) Class {
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

// guaranteedWait returns the longest wait of a job that was within its guarantee from its submission to its start:
// while it waited, fewer jobs than the guaranteed gangs ran or waited.
func (d *Driver) guaranteedWait() time.Duration {
	var worst time.Duration
	for _, n := range plan.GuaranteeNeeds(domainOf(d.config), d.config.Profiles) {
		var rs []*record
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

// domainOf returns the failure domain of the guarantees; a trace has one.
func domainOf(c config.Config) string {
	for _, p := range c.Profiles {
		for _, g := range p.Guarantees {
			return g.Domain
		}
	}
	return ""
}

// Print writes the reports as a table.
func Print(w io.Writer, rs []Report) error {
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
			fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s", r.Trace, r.Policy, u, c.Jobs, short(c.Median), short(c.Tail), short(c.Worst), short(c.Wait))
			if i == 0 {
				fmt.Fprintf(&b, "\t%d/%d\t%.3f\t%.3f\t%.0f\t%d\t%s", r.Late, r.Urgent, r.Stranded, r.Scattered, r.LostSeconds, r.Stops, short(r.GuaranteedWait))
			}
			b.WriteByte('\n')
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return fmt.Errorf("print measurements: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print measurements: %w", err)
	}
	return nil
}

func short(d time.Duration) string {
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
