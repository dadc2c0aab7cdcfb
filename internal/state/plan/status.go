package plan

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/health"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

type reasonCode int

const (
	reasonNone reasonCode = iota
	reasonRoom
	reasonQuota
	reasonReclaim
	reasonReserved
	reasonBackoff
	reasonHeadroom
	reasonStartRate
)

// waitReason is the reason found by the last pass; it is formatted only on request.
type waitReason struct {
	code reasonCode
	// a and b are the numbers and text the name in the message of the code, or text is the whole message.
	a    int
	b    int
	text string
}

func describeShape(s fleet.Shape) string {
	switch {
	case s.Accelerators == 0 && s.Tasks == 1:
		return "1 slot"
	case s.Accelerators == 0:
		return fmt.Sprintf("%d slots %s", s.Tasks, describeAdjacency(s.Adjacent))
	case s.Tasks == 1 || s.Adjacent == fleet.LevelWorker:
		return fmt.Sprintf("%d accelerators on one worker", s.TotalAccelerators())
	default:
		return fmt.Sprintf("%d accelerators %s", s.TotalAccelerators(), describeAdjacency(s.Adjacent))
	}
}

func describeAdjacency(l fleet.Level) string {
	switch l {
	case fleet.LevelWorker:
		return "on one worker"
	case fleet.LevelRack:
		return "in one rack"
	default:
		return "in the fewest racks"
	}
}

func pluralize(n int, of string) string {
	if n == 1 {
		return "1 " + of
	}
	return fmt.Sprintf("%d %ss", n, of)
}

// explain returns the reason for the state of a job and what the job waits for.
func (e *entry) explain() (reason, waits string) {
	s := e.job.Shape
	switch e.reason.code {
	case reasonRoom:
		return fmt.Sprintf("waits for %s; none is free beside reservations and earlier work", describeShape(s)), describeShape(s)
	case reasonHeadroom:
		return fmt.Sprintf("waits for %s; of %d free accelerators %d are kept for urgent work", describeShape(s), e.reason.a, e.reason.b),
			describeShape(s)
	case reasonStartRate:
		return "waits for its turn among the starts of single tasks", "the next starts"
	case reasonQuota:
		return fmt.Sprintf("%s uses %d accelerators of its quota of %d and this job needs %d more",
			e.job.Organisation, e.reason.a, e.reason.b, s.TotalAccelerators()), "quota of " + e.job.Organisation
	case reasonReclaim:
		return fmt.Sprintf("waits for %s; %s with borrowed work of %s, reclaim under way",
			describeShape(s), pluralize(e.reason.a, "rack"), pluralize(e.reason.b, "job")), "reclaim of " + describeShape(s)
	case reasonReserved:
		return fmt.Sprintf("waits for %s; held back for it: %s from %s on", describeShape(s), pluralize(e.reason.a, "rack"), e.reason.text),
			fmt.Sprintf("running work in rack %s to end", e.reason.text)
	case reasonBackoff:
		return fmt.Sprintf("its last attempt came to nothing; tried again after %s", e.backoff), "the time to try again"
	default:
	}
	if e.reason.text != "" {
		return e.reason.text, ""
	}
	if e.isQueued() {
		return "waits for the next pass", "the next pass"
	}
	return "", ""
}

// Status returns the state of a job.
func (p *Planner) Status(id string) (Status, error) {
	e, ok := p.jobs[id]
	if !ok {
		return Status{}, fmt.Errorf("status of %s: %w", id, ErrJobNotExist)
	}
	s := Status{Job: e.job, State: e.state, Expected: e.expected}
	s.Reason, s.WaitsFor = e.explain()
	for _, x := range e.heldSites() {
		s.Workers = append(s.Workers, x.Worker.Name)
	}
	return s, nil
}

// FindStatus returns the state of all jobs, ordered by id.
func (p *Planner) FindStatus() []Status {
	out := make([]Status, 0, len(p.jobs))
	for id := range p.jobs {
		s, _ := p.Status(id)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.ID < out[j].Job.ID })
	return out
}

// FindWorkers returns the state of all workers, ordered by name.
func (p *Planner) FindWorkers() []WorkerView {
	out := make([]WorkerView, 0, p.ledger.Len())
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			out = append(out, p.workerView(s))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker.Name < out[j].Worker.Name })
	return out
}

// States of a worker.
const (
	WorkerReady       = "Ready"
	WorkerLeaving     = "Leaving"
	WorkerEvacuated   = "Evacuated"
	WorkerQuarantined = string(health.Quarantined)
	WorkerProbation   = string(health.Probation)
)

func (p *Planner) workerView(s *place.Site) WorkerView {
	v := WorkerView{Worker: s.Worker, State: WorkerReady, SlotsUsed: s.Used.Slots, AcceleratorsUsed: s.Used.Accelerators}
	var rs []string
	st, why := p.healthState(s.Worker.Name)
	switch {
	case st != health.Good:
		v.State = string(st)
		rs = append(rs, why)
	case p.isEvacuated(s):
		v.State = WorkerEvacuated
		rs = append(rs, "its failure domain is evacuated")
	case s.Closed:
		v.State = WorkerLeaving
		rs = append(rs, "takes no new work")
	default:
	}
	if !s.StopFrom.IsZero() {
		rs = append(rs, "takes no work that would outlive the planned stop at "+s.StopFrom.UTC().Format(time.RFC3339))
	}
	if !s.BackfillUntil.IsZero() {
		rs = append(rs, "held back for a waiting gang from "+s.BackfillUntil.UTC().Format(time.RFC3339))
	}
	v.Reason = strings.Join(rs, "; ")
	return v
}

// Fragmentation measures the fragmentation of free accelerators on open workers for the current target shapes.
func (p *Planner) Fragmentation() place.Fragmentation {
	return p.ledger.Fragmentation(p.targets, func(s *place.Site) place.Resources {
		if s.Closed {
			return place.Resources{}
		}
		return s.Capacity.Minus(s.Used)
	})
}

// Summary returns the load to be reported to other failure domains.
func (p *Planner) Summary(now time.Time) Summary {
	out := Summary{Wait: map[config.Urgency]time.Duration{}}
	for _, r := range p.ledger.Racks() {
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

// Load returns the used and the total room of the open workers.
func (p *Planner) Load() (used, total place.Resources) {
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if !s.Closed {
				used = used.Plus(s.Used)
				total = total.Plus(s.Capacity)
			}
		}
	}
	return used, total
}

// CountReservedWorkers returns the number of workers that are reserved for blocked gangs.
func (p *Planner) CountReservedWorkers() int {
	n := 0
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if !s.BackfillUntil.IsZero() {
				n++
			}
		}
	}
	return n
}
