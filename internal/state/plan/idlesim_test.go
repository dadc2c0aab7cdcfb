package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	simStep = 50 * time.Millisecond
	// silenceLimit is the time after which the owner of a failure domain gives no more work to a worker that does not answer.
	silenceLimit = 2400 * time.Millisecond
	// simLease is how long after the last answer of a worker its runs have certainly ended.
	simLease = 6 * time.Second
	// simFaultGrace is the time after the loss of a run in which its submission does not count as idle.
	simFaultGrace = 4 * time.Second
	// simStartLimit is how long a start without outcome counts as placed.
	simStartLimit = time.Second
)

// simFault is what is wrong with a worker of an idleSim.
type simFault string

const (
	faultNone   simFault = ""
	faultSilent simFault = "Silent"
	faultRefuse simFault = "Refuse"
	faultFail   simFault = "Fail"
	faultLeave  simFault = "Leave"
	faultGone   simFault = "Gone"
)

type simWorker struct {
	fleet.Worker
	fault simFault
	since time.Time
	until time.Time
}

type simPhase string

const (
	simQueued   simPhase = "Queued"
	simStarting simPhase = "Starting"
	simRunning  simPhase = "Running"
	simStopping simPhase = "Stopping"
)

// simJob is one job of an idleSim; due is when its phase ends.
type simJob struct {
	fleet.Job
	phase     simPhase
	since     time.Time
	due       time.Time
	on        []*simWorker
	runs      time.Duration
	isFailing bool
	blames    bool
	// besideRoom is since when the job has idled beside room for two; zero if it does not.
	besideRoom time.Time
}

// idleSim plays a random failure domain. It keeps its own account of the workers, so that it does not share what the planner
// believes of them.
type idleSim struct {
	p       *Planner
	r       *rand.Rand
	now     time.Time
	workers []*simWorker
	jobs    map[string]*simJob
	// workedAt is when a submission last had something placed.
	workedAt map[string]time.Time
	steps    int
	count    int
	// full is how much of the domain the load asks for.
	full float64
}

func newIdleSim(seed uint64) *idleSim {
	s := &idleSim{
		r: rand.New(rand.NewPCG(seed, 28)), now: start, jobs: map[string]*simJob{}, workedAt: map[string]time.Time{},
	}
	s.p = New("", WithRestartCost(500*time.Millisecond), WithClaimBound(2900*time.Millisecond), WithLossBounds(4, 0.3),
		WithHeadroom(10*time.Second, 1), WithStartRate(600, 800), WithIdleBound(2*time.Second), WithPartialFleet())
	if s.r.IntN(4) == 0 {
		WithStartRate(1, 2)(s.p)
	}
	s.p.Configure(profiles(bulk, normal, config.Profile{
		Name: "Urgent", Urgency: config.Urgent, WaitBound: 10 * time.Second, Stoppable: true, ReclaimBound: 400 * time.Millisecond,
	}))
	s.full = 0.6 + s.r.Float64()
	racks, each := 1+s.r.IntN(5), 1+s.r.IntN(6)
	for i := range racks * each {
		w := fleet.Worker{
			Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%02d", i/each),
			Slots: 8, Accelerators: 8, Processors: 64, Memory: 128 * fleet.Gigabyte, Labels: []string{"a", "b,a", "b"}[s.r.IntN(3)],
		}
		s.workers = append(s.workers, &simWorker{Worker: w})
		s.p.PutWorker(w)
	}
	s.p.SetGuaranteed(map[string]int{"o0": racks * each * 3, "o1": racks * each})
	s.p.SetFleetComplete()
	// The first pass is long ago, so that workers that join count as new.
	s.p.Pass(start.Add(-2 * settledAge))
	return s
}

func (s *idleSim) chance(x float64) bool { return s.r.Float64() < x }

func (s *idleSim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.r.Int64N(int64(hi-lo)))
}

// play plays the domain for the time and returns the first job that idles for idleBound beside room for two of it.
func (s *idleSim) play(d time.Duration) string {
	for range int(d / simStep) {
		s.now = s.now.Add(simStep)
		s.changeWorkers()
		s.advanceJobs()
		s.load()
		if s.steps%3 == 0 {
			s.apply(s.p.Pass(s.now))
		} else if s.p.HasUrgentWaiting() {
			s.apply(s.p.PassUrgent(s.now))
		}
		s.steps++
		if x := s.findStalled(); x != "" {
			return x
		}
	}
	return ""
}

// sorted returns the jobs in the order of their IDs.
func (s *idleSim) sorted() []*simJob {
	out := make([]*simJob, 0, len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out = append(out, s.jobs[id])
	}
	return out
}

// changeWorkers begins and ends faults of workers.
func (s *idleSim) changeWorkers() {
	for _, w := range s.workers {
		if w.fault == faultSilent && s.now.Sub(w.since) >= silenceLimit {
			s.setLeaving(w, true)
		}
		if w.fault != faultNone && !s.now.Before(w.until) {
			w.fault = faultNone
			s.setLeaving(w, false)
		}
		if w.fault == faultNone && s.chance(0.003) {
			s.beginFault(w)
		}
		if w.fault == faultNone && s.chance(0.001) {
			for i := range 3 {
				s.p.RecordCrash(w.Name, fmt.Sprintf("%s/%d/%d", w.Name, s.now.UnixMilli(), i), s.now)
			}
		}
	}
}

func (s *idleSim) beginFault(w *simWorker) {
	w.fault = []simFault{faultSilent, faultSilent, faultRefuse, faultFail, faultLeave, faultGone}[s.r.IntN(6)]
	w.since, w.until = s.now, s.now.Add(s.between(500*time.Millisecond, 9*time.Second))
	if w.fault == faultLeave {
		s.setLeaving(w, true)
	}
	if w.fault != faultGone {
		return
	}
	s.p.DropWorker(w.Name)
	for _, j := range s.sorted() {
		if slices.Contains(j.on, w) {
			s.end(j, Ended{Result: ResultLost})
		}
	}
}

func (s *idleSim) setLeaving(w *simWorker, isLeaving bool) {
	x := w.Worker
	x.Leaving = isLeaving
	s.p.PutWorker(x)
}

// silentSince returns when the first worker of a job fell silent; zero if none is.
func (j *simJob) silentSince() time.Time {
	var out time.Time
	for _, w := range j.on {
		if w.fault == faultSilent && (out.IsZero() || w.since.Before(out)) {
			out = w.since
		}
	}
	return out
}

// advanceJobs ends the phases of jobs that are due; nothing that happens on a silent worker is known before its lease is over.
func (s *idleSim) advanceJobs() {
	for _, j := range s.sorted() {
		if silent := j.silentSince(); !silent.IsZero() {
			switch {
			case s.now.Sub(silent) >= simLease:
				s.end(j, Ended{Result: ResultLost})
			case j.phase == simStarting && s.now.Sub(j.since) >= silenceLimit:
				j.phase = simStopping
				s.p.Stopping(j.ID)
			}
			continue
		}
		if j.phase == simQueued || s.now.Before(j.due) {
			continue
		}
		s.endPhase(j)
	}
}

func (s *idleSim) endPhase(j *simJob) {
	switch j.phase {
	case simStarting:
		if i := slices.IndexFunc(j.on, func(w *simWorker) bool { return w.fault == faultRefuse }); i >= 0 {
			s.refuse(j, j.on[i].Name)
			return
		}
		j.phase, j.since, j.due = simRunning, s.now, s.now.Add(j.runs)
		if j.isFailing {
			j.due = s.now.Add(200 * time.Millisecond)
		}
		s.p.Started(j.ID, s.now)
	case simRunning:
		i := slices.IndexFunc(j.on, func(w *simWorker) bool { return w.fault == faultFail })
		switch {
		case i >= 0:
			s.end(j, Ended{Result: ResultFailed, Workers: []string{j.on[i].Name}})
		case j.isFailing && j.blames:
			s.end(j, Ended{Result: ResultFailed, Workers: []string{j.on[0].Name}})
		case j.isFailing:
			s.end(j, Ended{Result: ResultFailed})
		case j.Lasts:
			s.end(j, Ended{Result: ResultLost})
		default:
			s.end(j, Ended{Result: ResultDone})
		}
	default:
		s.end(j, Ended{Result: ResultStopped})
	}
}

func (s *idleSim) refuse(j *simJob, worker string) {
	switch s.r.IntN(3) {
	case 0:
		s.end(j, Ended{Result: ResultNoStart, Workers: []string{worker}})
	default:
		s.end(j, Ended{Result: ResultStopped, Refused: []string{worker}})
	}
}

func (s *idleSim) end(j *simJob, x Ended) {
	x.Job, x.At, x.Requeue = j.ID, s.now, x.Result != ResultDone
	s.p.Ended(x)
	j.phase, j.on = simQueued, nil
	if !x.Requeue {
		delete(s.jobs, j.ID)
	}
}

// apply carries out the decisions of a pass; some starts and stops take long.
func (s *idleSim) apply(d Decisions) {
	for _, x := range d.Starts {
		j := s.jobs[x.Job.ID]
		j.phase, j.since, j.due, j.on = simStarting, s.now, s.now.Add(simStep), nil
		if s.chance(0.02) {
			j.due = s.now.Add(s.between(time.Second, 5*time.Second))
		}
		for _, a := range x.Placement {
			i := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.Name == a.Worker })
			j.on = append(j.on, s.workers[i])
		}
	}
	for _, x := range d.Stops {
		j := s.jobs[x.Job]
		j.phase, j.due = simStopping, s.now.Add(s.between(simStep, 400*time.Millisecond))
		if s.chance(0.2) {
			j.due = s.now.Add(s.between(time.Second, simLease))
		}
	}
	for _, x := range d.Refusals {
		delete(s.jobs, x.Job)
	}
}

// load submits jobs while the domain has less work than the sim asks for; bursts of urgent gangs come beside it.
func (s *idleSim) load() {
	want := 0
	for _, j := range s.jobs {
		want += j.Shape.Tasks * max(j.Shape.Accelerators, 1)
	}
	for want < int(s.full*float64(8*len(s.workers))) && s.chance(0.7) {
		want += s.submit([]string{"Bulk", "Bulk", "Normal", "Urgent"}[s.r.IntN(4)])
	}
	if s.chance(0.01) && len(s.jobs) < 4*len(s.workers) {
		for range 1 + s.r.IntN(2*len(s.workers)) {
			s.submit("Urgent")
		}
	}
	for _, j := range s.sorted() {
		if j.Lasts && j.phase == simQueued && s.chance(0.002) {
			s.p.Cancel([]string{j.ID})
			delete(s.jobs, j.ID)
		}
	}
}

// submit submits a random submission and returns the accelerators that it needs.
func (s *idleSim) submit(profile string) int {
	s.count++
	j := fleet.Job{
		Submission: fmt.Sprintf("%04d", s.count), Organisation: fmt.Sprintf("o%d", s.r.IntN(4)), Profile: profile, Submitted: s.now,
		LosesProgress: s.chance(0.6), Lasts: profile != "Urgent" && s.chance(0.15),
		Objective: 3 * time.Second, Stretch: []float64{0, 1.5, 3}[s.r.IntN(3)],
	}
	j.Shape = fleet.Shape{
		Tasks: 1, Accelerators: []int{0, 1, 2, 4, 8, 8}[s.r.IntN(6)], Processors: 1 + s.r.IntN(12),
		Memory: fleet.Bytes(1+s.r.IntN(48)) * fleet.Gigabyte, Adjacent: fleet.LevelDomain,
	}
	if s.chance(0.3) {
		j.Shape.Tasks = 2 + s.r.IntN(6)
		j.Shape.Adjacent = []fleet.Level{fleet.LevelRack, fleet.LevelRack, fleet.LevelDomain, fleet.LevelWorker}[s.r.IntN(4)]
	}
	if j.Shape.Adjacent == fleet.LevelRack && !s.p.FitsEmptyRack(j.Shape, "") {
		j.Shape.Adjacent = fleet.LevelDomain
	}
	if s.chance(0.15) {
		j.Label = []string{"a", "b"}[s.r.IntN(2)]
	}
	if s.chance(0.15) && j.Shape.Adjacent != fleet.LevelWorker {
		j.PerWorker, j.Group = 1+s.r.IntN(2), j.Submission
	}
	j.IsFirm = j.Lasts && s.chance(0.3)
	runs := s.between(200*time.Millisecond, 8*time.Second)
	j.RunTime = time.Duration(float64(runs) * (0.3 + 2*s.r.Float64()))
	isFailing, blames := s.chance(0.06), s.chance(0.5)
	units := 1 + s.r.IntN(5)*s.r.IntN(2)
	for i := range units {
		x := &simJob{Job: j, phase: simQueued, runs: runs, isFailing: isFailing, blames: blames}
		x.ID = fmt.Sprintf("%s.%d", j.Submission, i)
		if s.p.Submit(x.Job) == nil {
			s.jobs[x.ID] = x
		}
	}
	return units * j.Shape.Tasks * max(j.Shape.Accelerators, 1)
}

// key names what has to have something running: a job that lasts by itself, other jobs as their submission.
func (j *simJob) key() string {
	if j.Lasts {
		return j.ID
	}
	return j.Submission
}

// noteWork records the submissions that have something placed.
func (s *idleSim) noteWork() {
	for _, j := range s.jobs {
		silent := j.silentSince()
		isPlaced := j.phase == simRunning || j.phase == simStarting && s.now.Sub(j.since) < simStartLimit
		if isPlaced && (silent.IsZero() || s.now.Sub(silent) < simFaultGrace) {
			s.workedAt[j.key()] = s.now
		}
	}
}

// findStalled returns a description of a job that has had nothing placed for idleBound beside room for two of it.
func (s *idleSim) findStalled() string {
	s.noteWork()
	free, members := s.freeRoom(), s.countMembers()
	for _, j := range s.sorted() {
		if j.phase != simQueued || s.workedAt[j.key()].Equal(s.now) || !fitsTwice(j, free, members) {
			j.besideRoom = time.Time{}
			continue
		}
		if j.besideRoom.IsZero() {
			j.besideRoom = s.now
		}
		if s.now.Sub(j.besideRoom) >= idleBound {
			x, _ := s.p.Status(j.ID)
			return fmt.Sprintf("%s of %s (%s, %d processors, %d MB, label %q, %d per worker, lasts %t) idles beside room at %v: %s, %s",
				j.ID, j.Profile, j.Shape, j.Shape.Processors, j.Shape.Memory/fleet.Megabyte, j.Label, j.PerWorker, j.Lasts,
				s.now.Sub(start), s.p.WaitCause(j.ID), x.Reason)
		}
	}
	return ""
}

// freeRoom returns the room of the sound workers that nothing takes that was started and has not ended.
func (s *idleSim) freeRoom() map[*simWorker]place.Resources {
	out := map[*simWorker]place.Resources{}
	for _, w := range s.workers {
		if w.fault == faultNone || w.fault == faultFail {
			out[w] = place.WorkerCapacity(w.Worker)
		}
	}
	for _, j := range s.jobs {
		for _, w := range j.on {
			if room, ok := out[w]; ok {
				out[w] = room.Minus(place.TaskResources(j.Shape))
			}
		}
	}
	return out
}

// simMember is a group of jobs on a worker.
type simMember struct {
	group  string
	worker *simWorker
}

// countMembers returns the number of tasks of each group on each worker.
func (s *idleSim) countMembers() map[simMember]int {
	out := map[simMember]int{}
	for _, j := range s.jobs {
		for _, w := range j.on {
			out[simMember{j.Group, w}]++
		}
	}
	return out
}

// fitsTwice reports whether a job has room once within its limits and labels, and twice on the workers that it may use.
func fitsTwice(j *simJob, free map[*simWorker]place.Resources, members map[simMember]int) bool {
	once, twice := 0, 0
	for w, room := range free {
		n, left := room.Holds(place.TaskResources(j.Shape)), j.Shape.Tasks
		if j.PerWorker > 0 {
			left = j.PerWorker - members[simMember{j.Group, w}]
		}
		if n == 0 || left <= 0 || j.Label != "" && !slices.Contains(strings.Split(w.Labels, ","), j.Label) {
			continue
		}
		if j.Shape.Adjacent == fleet.LevelWorker {
			n -= n % j.Shape.Tasks
		}
		once += min(n, left)
		twice += n
	}
	return once >= j.Shape.Tasks && twice >= 2*j.Shape.Tasks
}
