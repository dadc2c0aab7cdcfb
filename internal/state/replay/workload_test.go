package replay

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "regenerate the traces in testdata")

var epoch = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// traceBuilder generates the trace of a failure domain under a synthetic workload.
type traceBuilder struct {
	r      *rand.Rand
	events []events.Event
	next   int
	config config.Config
}

func newTraceBuilder(seed uint64) *traceBuilder {
	return &traceBuilder{r: rand.New(rand.NewPCG(seed, 7)), config: config.Config{
		Profiles: map[string]config.Profile{}, Organisations: map[string]config.Organisation{},
	}}
}

func (c *traceBuilder) add(at time.Duration, e events.Event) {
	e.At = events.Stamp(uint64(epoch.Add(at).UnixMilli()) << 16)
	c.events = append(c.events, e)
}

func (c *traceBuilder) profile(p config.Profile) {
	c.config.Profiles[p.Name] = p
}

func (c *traceBuilder) configure() {
	b, _ := json.Marshal(c.config)
	c.add(0, events.Event{Kind: events.ConfigInForce, Text: string(b)})
}

func (c *traceBuilder) fleet(racks, each, cores int, memory fleet.Bytes, faulty ...string) {
	for i := range racks * each {
		w := fleet.Worker{
			Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/each), Slots: 8, Accelerators: 8,
			Processors: cores, Memory: memory,
		}
		c.add(0, events.Event{Kind: events.WorkerUp, Worker: w.Name, Text: WorkerText(w, slices.Contains(faulty, w.Name))})
	}
}

func (c *traceBuilder) job(at time.Duration, org, profile string, s fleet.Shape, declared time.Duration, t GroundTruth) string {
	c.next++
	j := fleet.Job{ID: fmt.Sprintf("j%04d", c.next), Organisation: org, Profile: profile, Shape: s, RunTime: declared.Round(time.Second)}
	if c.config.Profiles[profile].Once {
		j.Key = j.ID
	}
	t.Ran = max(t.Ran.Round(time.Second), time.Second)
	c.add(at, events.Event{Kind: events.JobAccepted, Job: j.ID, Organisation: org, Profile: profile, Text: JobText(j, t)})
	return j.ID
}

func (c *traceBuilder) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.r.Int64N(int64(hi-lo)+1))
}

// stream submits jobs with exponentially distributed gaps of the given mean.
func (c *traceBuilder) stream(from, to, gap time.Duration, submit func(at time.Duration)) {
	for at := from; at < to; {
		submit(at)
		at += time.Duration(c.r.ExpFloat64() * float64(gap))
	}
}

func (c *traceBuilder) trace(name string) Trace {
	slices.SortStableFunc(c.events, func(x, y events.Event) int { return cmp.Compare(x.At, y.At) })
	return Trace{Name: name, Events: c.events}
}

func (c *traceBuilder) write(t *testing.T, name string) {
	c.trace(name)
	var b bytes.Buffer
	for _, e := range c.events {
		line := struct {
			At                                       events.Stamp
			Kind                                     events.Kind
			Job, Worker, Organisation, Profile, Text string `json:",omitempty"`
		}{e.At, e.Kind, e.Job, e.Worker, e.Organisation, e.Profile, e.Text}
		x, err := json.Marshal(line)
		require.NoError(t, err)
		b.Write(x)
		b.WriteByte('\n')
	}
	require.NoError(t, os.WriteFile(filepath.Join("testdata", name+".jsonl"), b.Bytes(), 0o600))
}

func gang(tasks, accs, cores int, memory fleet.Bytes, l fleet.Level) fleet.Shape {
	return fleet.Shape{Tasks: tasks, Accelerators: accs, Processors: cores, Memory: memory, Adjacent: l}
}

func gangs(domain, org string, n int, s fleet.Shape) []config.Guarantee {
	return []config.Guarantee{{Organisation: org, Domain: domain, Gangs: n, Shape: s}}
}

// authority sets up the crab pot registry: urgent registrations, normal sightings, and quiet, stoppable audits, which lend
// and borrow guaranteed capacity.
func authority(seed uint64, faulty ...string) *traceBuilder {
	c := newTraceBuilder(seed)
	c.profile(config.Profile{
		Name: "Registration", Urgency: config.Urgent, WaitBound: 3600 * time.Millisecond, Once: true,
		Guarantees: gangs("north-quay", "Registry", 24, gang(1, 1, 8, 16*fleet.Gigabyte, fleet.LevelWorker)), RunTime: 20 * time.Second,
	})
	c.profile(config.Profile{
		Name: "Sighting", Urgency: config.Normal, WaitBound: 5 * time.Minute,
		Guarantees: gangs("north-quay", "Inspection", 2, gang(8, 1, 8, 16*fleet.Gigabyte, fleet.LevelWorker)), RunTime: 5 * time.Minute,
	})
	c.profile(config.Profile{
		Name: "Audit", Urgency: config.Quiet, WaitBound: 8 * time.Hour, Stoppable: true, ReclaimBound: 2 * time.Second,
		Guarantees: gangs("north-quay", "Audit", 1, gang(32, 1, 8, 16*fleet.Gigabyte, fleet.LevelRack)), RunTime: 30 * time.Minute,
	})
	for _, o := range []string{"Registry", "Inspection", "Audit", "Harbour"} {
		c.config.Organisations[o] = config.Organisation{Name: o, Weight: 1}
	}
	c.configure()
	c.fleet(2, 8, 128, 512*fleet.Gigabyte, faulty...)
	return c
}

func (c *traceBuilder) registration(at time.Duration) {
	t := c.randomDuration(5*time.Second, 25*time.Second)
	c.job(at, "Registry", "Registration", gang(1, 1, 8, 16*fleet.Gigabyte, fleet.LevelWorker), 20*time.Second, GroundTruth{Ran: t})
}

func (c *traceBuilder) sighting(at time.Duration) {
	t := c.randomDuration(time.Minute, 8*time.Minute)
	s := gang(8, 1, 8, 16*fleet.Gigabyte, fleet.LevelWorker)
	if c.r.IntN(2) == 0 {
		s.Tasks = 1 + c.r.IntN(4)
	}
	c.job(at, "Inspection", "Sighting", s, 5*time.Minute, GroundTruth{Ran: t})
}

func (c *traceBuilder) audit(at time.Duration) {
	t := c.randomDuration(10*time.Minute, 50*time.Minute)
	org := []string{"Audit", "Harbour"}[c.r.IntN(2)]
	s := gang([]int{4, 8, 16, 32}[c.r.IntN(4)], 1, 8, 16*fleet.Gigabyte, fleet.LevelRack)
	c.job(at, org, "Audit", s, 30*time.Minute, GroundTruth{Ran: t})
}

// settlement sets up the fee service: urgent receipts, stoppable matching, and batches of large gangs.
func settlement(seed uint64, stoppable bool, racks int) *traceBuilder {
	c := newTraceBuilder(seed)
	c.profile(config.Profile{
		Name: "Receipt", Urgency: config.Urgent, WaitBound: 3600 * time.Millisecond, Once: true,
		Guarantees: gangs("jm-south-a", "Fees", 16, gang(1, 1, 4, 8*fleet.Gigabyte, fleet.LevelWorker)), RunTime: 30 * time.Second,
	})
	c.profile(config.Profile{
		Name: "Matching", Urgency: config.Normal, WaitBound: 30 * time.Minute, Stoppable: true, ReclaimBound: 3 * time.Second,
		RunTime: 10 * time.Minute,
	})
	c.profile(config.Profile{
		Name: "Batch", Urgency: config.Normal, WaitBound: 30 * time.Minute, RunTime: time.Hour,
		Stoppable: stoppable, ReclaimBound: 3 * time.Second,
		Guarantees: gangs("jm-south-a", "Fees", 1, gang(32, 1, 4, 8*fleet.Gigabyte, fleet.LevelRack)),
	})
	for i, o := range []string{"Fees", "Waivers", "Library", "Press"} {
		c.config.Organisations[o] = config.Organisation{Name: o, Weight: 4 - i}
	}
	c.configure()
	c.fleet(racks, 8, 64, 128*fleet.Gigabyte)
	return c
}

func (c *traceBuilder) receipt(at time.Duration) {
	t := c.randomDuration(10*time.Second, 40*time.Second)
	c.job(at, "Fees", "Receipt", gang(1, 1, 4, 8*fleet.Gigabyte, fleet.LevelWorker), 30*time.Second, GroundTruth{Ran: t})
}

func (c *traceBuilder) matching(at time.Duration, factor float64) string {
	t := c.randomDuration(3*time.Minute, 20*time.Minute)
	org := []string{"Fees", "Waivers", "Library", "Press"}[c.r.IntN(4)]
	s := gang(1+c.r.IntN(6), 1, 4, 8*fleet.Gigabyte, fleet.LevelRack)
	return c.job(at, org, "Matching", s, declaredTime(c.r, t, factor), GroundTruth{Ran: t})
}

func (c *traceBuilder) batch(at time.Duration, tasks int, factor float64) {
	t := c.randomDuration(20*time.Minute, 70*time.Minute)
	org := []string{"Fees", "Press"}[c.r.IntN(2)]
	c.job(at, org, "Batch", gang(tasks, 1, 4, 8*fleet.Gigabyte, fleet.LevelRack), declaredTime(c.r, t, factor), GroundTruth{Ran: t})
}

// declaredTime returns a declared run time that is too long by the factor, too short by it, or correct, at random.
func declaredTime(r *rand.Rand, t time.Duration, factor float64) time.Duration {
	switch r.IntN(3) {
	case 0:
		return time.Duration(float64(t) * factor)
	case 1:
		return time.Duration(float64(t) / factor)
	default:
		return t
	}
}

// batches generates six hours of matching and large gangs; the batches are stoppable or not.
func batches(stoppable bool) *traceBuilder {
	c := settlement(3, stoppable, 2)
	c.stream(0, 6*time.Hour, 60*time.Second, func(at time.Duration) { c.matching(at, 1) })
	c.stream(10*time.Minute, 6*time.Hour, 40*time.Minute, func(at time.Duration) { c.batch(at, 32, 1) })
	c.stream(20*time.Minute, 6*time.Hour, 80*time.Minute, func(at time.Duration) { c.batch(at, 40, 1) })
	c.stream(0, 6*time.Hour, 3*time.Minute, c.receipt)
	return c
}

// wide generates a larger failure domain of sixteen racks that is about 90% full. BenchmarkMeasure uses it; it has no
// trace in testdata.
func wide() *traceBuilder {
	c := settlement(8, true, 16)
	c.stream(0, 4*time.Hour, 16*time.Second, func(at time.Duration) {
		s := gang(4+c.r.IntN(20), 1, 4, 8*fleet.Gigabyte, fleet.LevelRack)
		t := c.randomDuration(3*time.Minute, 20*time.Minute)
		c.job(at, []string{"Fees", "Waivers", "Library", "Press"}[c.r.IntN(4)], "Matching", s, t, GroundTruth{Ran: t})
	})
	c.stream(10*time.Minute, 4*time.Hour, 10*time.Minute, func(at time.Duration) { c.batch(at, 48, 1) })
	c.stream(20*time.Minute, 4*time.Hour, 40*time.Minute, func(at time.Duration) {
		t := c.randomDuration(20*time.Minute, 70*time.Minute)
		c.job(at, "Fees", "Batch", gang(128, 1, 4, 8*fleet.Gigabyte, fleet.LevelDomain), t, GroundTruth{Ran: t})
	})
	c.stream(0, 4*time.Hour, time.Minute, c.receipt)
	return c
}

// workloads generates the traces in testdata, by name.
var workloads = map[string]func() *traceBuilder{
	"tide": func() *traceBuilder {
		c := authority(1)
		c.stream(0, 40*time.Minute, 150*time.Second, c.audit)
		c.stream(time.Minute, 40*time.Minute, 50*time.Second, c.sighting)
		c.stream(20*time.Minute, 25*time.Minute, 700*time.Millisecond, c.registration)
		return c
	},
	"audits": func() *traceBuilder {
		c := authority(2)
		c.stream(0, 5*time.Hour, 5*time.Minute, c.audit)
		c.stream(0, 5*time.Hour, 2*time.Minute, c.registration)
		c.stream(0, 5*time.Hour, 4*time.Minute, c.sighting)
		return c
	},
	"batch": func() *traceBuilder { return batches(true) },
	"firm":  func() *traceBuilder { return batches(false) },
	"wrong": func() *traceBuilder {
		c := settlement(4, true, 2)
		c.stream(0, 4*time.Hour, 35*time.Second, func(at time.Duration) { c.matching(at, 10) })
		c.stream(10*time.Minute, 4*time.Hour, 30*time.Minute, func(at time.Duration) { c.batch(at, 32, 10) })
		c.stream(0, 4*time.Hour, 4*time.Minute, c.receipt)
		return c
	},
	"cancels": func() *traceBuilder {
		c := settlement(5, true, 2)
		var ids []string
		for i := range 900 {
			ids = append(ids, c.matching(time.Duration(i)*time.Millisecond, 1))
		}
		for i := range 8 {
			c.add(time.Minute, events.Event{Kind: events.JobCancelled, Job: joinIDs(ids[i*100 : (i+1)*100])})
		}
		c.stream(0, 10*time.Minute, 10*time.Second, c.receipt)
		return c
	},
	"faulty": func() *traceBuilder {
		c := authority(6, "w003", "w011")
		c.stream(0, time.Hour, 45*time.Second, c.sighting)
		c.stream(0, time.Hour, 6*time.Minute, c.audit)
		for i := range 4 {
			c.job(time.Duration(i)*7*time.Minute, "Harbour", "Audit", gang(2, 1, 8, 16*fleet.Gigabyte, fleet.LevelRack), 10*time.Minute, GroundTruth{Ran: 10 * time.Minute, Fails: true})
		}
		return c
	},
	"rack": func() *traceBuilder {
		c := authority(7)
		c.stream(0, 30*time.Minute, 5*time.Minute, c.audit)
		c.stream(0, 50*time.Minute, time.Minute, c.sighting)
		for i := range 8 {
			c.add(30*time.Minute, events.Event{Kind: events.WorkerDown, Worker: fmt.Sprintf("w%03d", i)})
		}
		c.add(30*time.Minute+5*time.Second, events.Event{Kind: events.OwnerChanged})
		for range 24 {
			c.registration(30*time.Minute + 10*time.Second)
		}
		c.stream(30*time.Minute, 40*time.Minute, 10*time.Second, c.registration)
		return c
	},
}

func joinIDs(ids []string) string {
	out := ids[0]
	for _, id := range ids[1:] {
		out += "," + id
	}
	return out
}

// TestTraceFilesExist checks that testdata has a trace for each workload; with -update it regenerates the traces first.
func TestTraceFilesExist(t *testing.T) {
	for name, f := range workloads {
		if *update {
			f().write(t, name)
		}
		require.FileExists(t, filepath.Join("testdata", name+".jsonl"))
	}
}
