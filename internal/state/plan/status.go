package plan

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/blame"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

type whyCode int

const (
	whyNone whyCode = iota
	whyRoom
	whyQuota
	whyReclaim
	whyHeld
	whyBackoff
)

// why is the reason of the last pass, rendered only when someone asks.
type why struct {
	code whyCode
	a    int
	b    int
	text string
}

func wants(s fleet.Shape) string {
	switch {
	case s.Accelerators == 0 && s.Tasks == 1:
		return "1 slot"
	case s.Accelerators == 0:
		return fmt.Sprintf("%d slots %s", s.Tasks, where(s.Adjacent))
	case s.Tasks == 1 || s.Adjacent == fleet.LevelWorker:
		return fmt.Sprintf("%d accelerators on one worker", s.TotalAccelerators())
	default:
		return fmt.Sprintf("%d accelerators %s", s.TotalAccelerators(), where(s.Adjacent))
	}
}

func where(l fleet.Level) string {
	switch l {
	case fleet.LevelWorker:
		return "on one worker"
	case fleet.LevelRack:
		return "in one rack"
	default:
		return "in the fewest racks"
	}
}

func number(n int, of string) string {
	if n == 1 {
		return "1 " + of
	}
	return fmt.Sprintf("%d %ss", n, of)
}

// render returns the reason and what the job waits for.
func (e *entry) render() (reason, waits string) {
	s := e.job.Shape
	switch e.why.code {
	case whyRoom:
		return fmt.Sprintf("waits for %s; none is free beside reservations and earlier work", wants(s)), wants(s)
	case whyQuota:
		return fmt.Sprintf("%s uses %d accelerators of its quota of %d and this job needs %d more",
			e.job.Organisation, e.why.a, e.why.b, s.TotalAccelerators()), "quota of " + e.job.Organisation
	case whyReclaim:
		return fmt.Sprintf("waits for %s; %s with borrowed work of %s, reclaim under way",
			wants(s), number(e.why.a, "rack"), number(e.why.b, "job")), "reclaim of " + wants(s)
	case whyHeld:
		return fmt.Sprintf("waits for %s; held back for it: %s from %s on", wants(s), number(e.why.a, "rack"), e.why.text),
			fmt.Sprintf("running work in rack %s to end", e.why.text)
	case whyBackoff:
		return fmt.Sprintf("its last attempt came to nothing; tried again after %s", e.backoff), "the time to try again"
	default:
	}
	if e.why.text != "" {
		return e.why.text, ""
	}
	if e.isQueued() {
		return "waits for the next pass", "the next pass"
	}
	return "", ""
}

// Status explains where a job stands.
func (p *Planner) Status(id string) (Status, error) {
	e, ok := p.jobs[id]
	if !ok {
		return Status{}, fmt.Errorf("status of %s: %w", id, ErrJobNotExist)
	}
	s := Status{Job: e.job, State: e.state, Expected: e.expected}
	s.Reason, s.WaitsFor = e.render()
	for _, x := range e.sites {
		s.Workers = append(s.Workers, x.Worker.Name)
	}
	return s, nil
}

// FindStatus explains all jobs, ordered by id.
func (p *Planner) FindStatus() []Status {
	out := make([]Status, 0, len(p.jobs))
	for id := range p.jobs {
		s, _ := p.Status(id)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.ID < out[j].Job.ID })
	return out
}

// FindWorkers returns the books of all workers, ordered by name.
func (p *Planner) FindWorkers() []WorkerView {
	out := make([]WorkerView, 0, p.books.Len())
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			out = append(out, p.view(s))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker.Name < out[j].Worker.Name })
	return out
}

// States of a worker in the planner's books.
const (
	WorkerReady       = "Ready"
	WorkerLeaving     = "Leaving"
	WorkerQuarantined = string(blame.Quarantined)
	WorkerProbation   = string(blame.Probation)
)

func (p *Planner) view(s *place.Site) WorkerView {
	v := WorkerView{Worker: s.Worker, State: WorkerReady, SlotsUsed: s.Used.Slots, AcceleratorsUsed: s.Used.Accelerators}
	var rs []string
	st, why := p.blame.State(s.Worker.Name, p.now)
	switch {
	case st != blame.Good:
		v.State = string(st)
		rs = append(rs, why)
	case s.Closed:
		v.State = WorkerLeaving
		rs = append(rs, "takes no new work")
	default:
	}
	if !s.StopFrom.IsZero() {
		rs = append(rs, "takes no work that would outlive the planned stop at "+s.StopFrom.UTC().Format(time.RFC3339))
	}
	if !s.HeldFrom.IsZero() {
		rs = append(rs, "held back for a waiting gang from "+s.HeldFrom.UTC().Format(time.RFC3339))
	}
	v.Reason = strings.Join(rs, "; ")
	return v
}

// Fragmentation measures the free accelerators of open workers against the guaranteed and queued shapes.
func (p *Planner) Fragmentation() place.Fragmentation {
	return p.books.Fragmentation(p.targets, func(s *place.Site) place.Room {
		if s.Closed {
			return place.Room{}
		}
		return s.Capacity.Minus(s.Used)
	})
}

// Summary describes the load for other failure domains.
func (p *Planner) Summary(now time.Time) Summary {
	out := Summary{Wait: map[config.Urgency]time.Duration{}}
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			if s.Closed {
				continue
			}
			out.Accelerators += s.Capacity.Accelerators
			out.FreeAccelerators += max(s.Capacity.Accelerators-s.Used.Accelerators, 0)
		}
	}
	out.Fragmentation = p.Fragmentation().Share()
	for _, e := range p.jobs {
		if e.isQueued() {
			u := e.profile.Urgency
			out.Wait[u] = max(out.Wait[u], now.Sub(e.job.Submitted), e.expected.Sub(now))
		}
	}
	return out
}

// Load returns what started jobs take of the open workers, and what these have.
func (p *Planner) Load() (used, total place.Room) {
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			if !s.Closed {
				used = used.Plus(s.Used)
				total = total.Plus(s.Capacity)
			}
		}
	}
	return used, total
}

// CountHeld returns how many workers are held back for a blocked gang.
func (p *Planner) CountHeld() int {
	n := 0
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			if !s.HeldFrom.IsZero() {
				n++
			}
		}
	}
	return n
}
