package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawFleet(t *rapid.T) []fleet.Worker {
	var ws []fleet.Worker
	for r := range rapid.IntRange(1, 3).Draw(t, "racks") {
		for i := range rapid.IntRange(1, 2).Draw(t, "workers") {
			ws = append(ws, drawWorker(t, fmt.Sprintf("r%d", r), fmt.Sprintf("w%d-%d", r, i)))
		}
	}
	return ws
}

func drawWorker(t *rapid.T, rack, name string) fleet.Worker {
	return fleet.Worker{
		Name: name, Rack: rack, Domain: "north-quay",
		Slots:        rapid.IntRange(1, 4).Draw(t, "slots"),
		Accelerators: rapid.IntRange(0, 4).Draw(t, "accelerators"),
		Processors:   rapid.IntRange(2, 4).Draw(t, "processors"),
	}
}

func drawShape(t *rapid.T) fleet.Shape {
	return fleet.Shape{
		Tasks:        rapid.IntRange(1, 4).Draw(t, "tasks"),
		Accelerators: rapid.IntRange(0, 2).Draw(t, "per task"),
		Processors:   rapid.IntRange(0, 1).Draw(t, "processors per task"),
		Adjacent:     rapid.SampledFrom([]fleet.Level{fleet.LevelWorker, fleet.LevelRack, fleet.LevelDomain}).Draw(t, "level"),
	}
}

func drawNeeds(t *rapid.T) []hold.Need {
	var ns []hold.Need
	for i := range rapid.IntRange(1, 3).Draw(t, "needs") {
		ns = append(ns, hold.Need{
			Organisation: fmt.Sprintf("o%d", i), Profile: fmt.Sprintf("g%d", i),
			Gangs: rapid.IntRange(1, 2).Draw(t, "gangs"), Shape: drawShape(t),
		})
	}
	return ns
}

// TestGuaranteesFitAsExhaustiveSearch compares the check of published guarantees with an exhaustive search of
// placements.
func TestGuaranteesFitAsExhaustiveSearch(t *testing.T) {
	cases, fit, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		ws, ns := drawFleet(t), drawNeeds(t)
		want := exhaustiveFits(exhaustiveFleet(ws), shapesOf(ns))
		got := len(hold.Fits(ws, ns)) == 0
		cases++
		if want {
			fit++
		}
		if want && !got {
			refused++
		}
		if got && !want {
			t.Fatalf("accepted guarantees that do not fit")
		}
	})
	t.Logf("%d cases, %d fit by exhaustive search, %d of these refused", cases, fit, refused)
}

// guaranteeModel drives a planner with random actions and keeps its own record of what runs.
type guaranteeModel struct {
	p       *Planner
	ws      map[string]fleet.Worker
	config  config.Config
	jobs    map[string]fleet.Job
	running map[string][]string
	claimed map[string]bool
	next    int
	now     time.Time

	steps, safe, refused int
	unsafe               string
}

func drawConfig(t *rapid.T) config.Config {
	var ps []config.Profile
	for _, n := range drawNeeds(t) {
		ps = append(ps, config.Profile{
			Name: n.Profile, Urgency: rapid.SampledFrom([]config.Urgency{config.Urgent, config.Normal, config.Quiet}).Draw(t, "urgency"),
			Stoppable: rapid.Bool().Draw(t, "stoppable"), Guarantees: guarantee(n.Organisation, n.Gangs, n.Shape),
		})
	}
	ps = append(ps, config.Profile{Name: "lent", Urgency: config.Quiet, Stoppable: true}, config.Profile{Name: "firm", Urgency: config.Normal})
	return profiles(ps...)
}

func newGuaranteeModel(t *rapid.T) *guaranteeModel {
	g := &guaranteeModel{
		p: New("north-quay"), ws: map[string]fleet.Worker{}, jobs: map[string]fleet.Job{},
		running: map[string][]string{}, claimed: map[string]bool{}, now: start, config: drawConfig(t),
	}
	for _, w := range drawFleet(t) {
		g.ws[w.Name] = w
		g.p.PutWorker(w)
	}
	g.p.Configure(g.config)
	return g
}

func (g *guaranteeModel) names() []string {
	var out []string
	for n := range g.ws {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (g *guaranteeModel) submit(t *rapid.T) {
	g.next++
	j := fleet.Job{ID: fmt.Sprintf("j%03d", g.next), Submitted: g.now, RunTime: time.Minute}
	var ps []string
	for n := range g.config.Profiles {
		ps = append(ps, n)
	}
	slices.Sort(ps)
	j.Profile = rapid.SampledFrom(ps).Draw(t, "profile")
	j.Organisation = "o9"
	j.Shape = drawShape(t)
	if x := g.config.Profiles[j.Profile]; len(x.Guarantees) > 0 {
		j.Organisation = x.Guarantees[0].Organisation
		j.Shape = x.Guarantees[0].Shape
	}
	if rapid.IntRange(0, 4).Draw(t, "once") == 0 {
		j.Key = j.ID
	}
	if g.p.Submit(j) == nil {
		g.jobs[j.ID] = j
	}
}

func (g *guaranteeModel) pass(t *rapid.T) {
	g.now = g.now.Add(time.Second)
	d := g.p.Pass(g.now)
	for _, s := range d.Starts {
		racks := map[string]bool{}
		for _, a := range s.Placement {
			g.running[s.Job.ID] = append(g.running[s.Job.ID], a.Worker)
			racks[g.ws[a.Worker].Rack] = true
			if s.Job.Shape.Adjacent == fleet.LevelWorker && a.Worker != s.Placement[0].Worker {
				t.Fatalf("gang %s of one worker is split", s.Job.ID)
			}
		}
		if s.Job.Shape.Adjacent == fleet.LevelRack && len(racks) > 1 {
			t.Fatalf("gang %s of one rack is split", s.Job.ID)
		}
		if len(s.Placement) != s.Job.Shape.Tasks {
			t.Fatalf("gang %s was started partially", s.Job.ID)
		}
		g.claimed[s.Job.ID] = s.Reason == "in the reservation of its guarantee"
		g.p.Started(s.Job.ID, g.now)
	}
	for _, s := range d.Stops {
		j := g.jobs[s.Job]
		if j.IsOnce() || !g.config.Profiles[j.Profile].Stoppable || g.claimed[s.Job] {
			t.Fatalf("job %s was stopped but is not preemptible", s.Job)
		}
		if rapid.Bool().Draw(t, "stops soon") {
			g.end(s.Job, true)
		}
	}
}

func (g *guaranteeModel) end(id string, requeue bool) {
	delete(g.running, id)
	delete(g.claimed, id)
	g.p.Ended(Ended{Job: id, Result: ResultStopped, Requeue: requeue, At: g.now})
}

func (g *guaranteeModel) endOne(t *rapid.T) {
	var ids []string
	for id := range g.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	g.end(rapid.SampledFrom(ids).Draw(t, "ends"), rapid.Bool().Draw(t, "again"))
}

func (g *guaranteeModel) lose(t *rapid.T) {
	if len(g.ws) < 2 {
		return
	}
	n := rapid.SampledFrom(g.names()).Draw(t, "lost")
	delete(g.ws, n)
	for _, id := range g.p.DropWorker(n) {
		g.end(id, rapid.Bool().Draw(t, "again"))
	}
}

func (g *guaranteeModel) join(t *rapid.T) {
	r := rapid.IntRange(0, 2).Draw(t, "rack")
	n := fmt.Sprintf("w%d-%d", r, rapid.IntRange(0, 1).Draw(t, "worker"))
	if _, ok := g.ws[n]; ok {
		return
	}
	g.ws[n] = drawWorker(t, fmt.Sprintf("r%d", r), n)
	g.p.PutWorker(g.ws[n])
}

// handOver transfers all jobs to a new planner, as after a change of owner.
func (g *guaranteeModel) handOver() {
	old := g.p
	g.p = New("north-quay")
	g.p.Configure(g.config)
	for _, n := range g.names() {
		g.p.PutWorker(g.ws[n])
	}
	g.claimed = map[string]bool{}
	for _, s := range old.FindStatus() {
		if s.State == StateQueued {
			_ = g.p.Submit(s.Job)
			continue
		}
		var as []fleet.Assignment
		for i, w := range s.Workers {
			as = append(as, fleet.Assignment{Task: i, Worker: w})
		}
		g.p.Adopt(s.Job, as, g.now)
		g.claimed[s.Job.ID] = g.p.jobs[s.Job.ID].gang != nil
	}
}

// check compares the planner with the model: the room in use on each worker with a recount, and its report of unkept
// guarantees with an exhaustive search.
func (g *guaranteeModel) check(t *rapid.T) {
	unkept := g.p.UnkeptGuarantees()
	room := exhaustiveFleet(nil)
	firm := exhaustiveFleet(nil)
	for _, w := range g.ws {
		if room[w.Rack] == nil {
			room[w.Rack], firm[w.Rack] = map[string]place.Resources{}, map[string]place.Resources{}
		}
		room[w.Rack][w.Name], firm[w.Rack][w.Name] = place.WorkerCapacity(w), place.WorkerCapacity(w)
	}
	left := map[string]int{}
	for _, x := range g.config.Profiles {
		for _, y := range x.Guarantees {
			left[x.Name] += y.Gangs
		}
	}
	for id, ws := range g.running {
		j := g.jobs[id]
		n := place.TaskResources(j.Shape)
		lent := g.config.Profiles[j.Profile].Stoppable && !j.IsOnce() && !g.claimed[id]
		if g.claimed[id] {
			left[j.Profile]--
		}
		for _, w := range ws {
			r := g.ws[w].Rack
			room[r][w] = room[r][w].Minus(n)
			if !lent {
				firm[r][w] = firm[r][w].Minus(n)
			}
		}
	}
	for _, ws := range room {
		for w, r := range ws {
			if !(place.Resources{}).IsWithin(r) {
				t.Fatalf("worker %s is booked twice: %+v left", w, r)
			}
			if got := g.p.ledger.Get(w); got.Capacity.Minus(got.Used) != r {
				t.Fatalf("worker %s: the planner has %+v free, a recount gives %+v", w, got.Capacity.Minus(got.Used), r)
			}
		}
	}
	var gangs []fleet.Shape
	for n, k := range left {
		for range k {
			gangs = append(gangs, g.config.Profiles[n].Guarantees[0].Shape)
		}
	}
	fits := exhaustiveFits(firm, gangs)
	g.steps++
	if len(unkept) == 0 {
		g.safe++
		if !fits && g.unsafe == "" {
			g.unsafe = fmt.Sprintf("guarantees do not fit after stopping borrowers, and the planner does not say so: %+v in %+v", gangs, firm)
		}
		return
	}
	if fits {
		g.refused++
	}
}

func (g *guaranteeModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": g.submit, "submit more": g.submit, "pass": g.pass, "pass again": g.pass, "end": g.endOne,
		"lose": g.lose, "join": g.join, "hand over": func(*rapid.T) { g.handOver() },
		"": g.check,
	}
}

// TestPlannerIgnoringGuaranteesIsDetected verifies that the check detects a planner that ignores reservations.
func TestPlannerIgnoringGuaranteesIsDetected(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGuaranteeModel(t)
		g.p.ignoreGuarantees = true
		t.Repeat(g.actions())
		if g.unsafe != "" {
			found++
		}
	})
	require.Positive(t, found)
}

// TestGuaranteesHoldAtEveryStep drives planners with random actions and verifies by exhaustive search that all
// guarantees fit whenever the planner reports none as unkept.
func TestGuaranteesHoldAtEveryStep(t *testing.T) {
	steps, safe, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGuaranteeModel(t)
		t.Repeat(g.actions())
		steps, safe, refused = steps+g.steps, safe+g.safe, refused+g.refused
		if g.unsafe != "" {
			t.Fatal(g.unsafe)
		}
	})
	t.Logf("%d steps, %d with all guarantees kept, %d reported unkept that exhaustive search could keep", steps, safe, refused)
	require.Positive(t, safe)
}
