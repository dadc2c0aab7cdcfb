package tests

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// soakWaveTime bounds the time within which the faults of a wave begin, and soakWaveFaults is their mean number per second.
	soakWaveTime   = 8 * time.Second
	soakWaveFaults = 1.2
	// soakFaultTime bounds the duration of a fault, and soakCalmTime is the least time between two waves.
	soakFaultTime = 5 * time.Second
	soakCalmTime  = 8500 * time.Millisecond
	// soakLeastWork and soakWorkSpread bound the mean time of the runs of a job.
	soakLeastWork  = 400 * time.Millisecond
	soakWorkSpread = 3200 * time.Millisecond
	soakBurstOneIn = 12
	soakBurstJobs  = 8
)

// newMixedPlan draws a load of four organisations and three urgencies that fills the workers to about half and bursts above,
// and faults that come in waves with calm times between. The seed chooses the leases that the workers grant.
func newMixedPlan(seed uint64, hosts, workers int, length time.Duration) *soakPlan {
	r := rand.New(rand.NewPCG(seed, 2))
	p := &soakPlan{
		seed: seed, hosts: hosts, workers: workers, length: length, outcomeRand: rand.New(rand.NewPCG(seed, 3)), byID: map[string]*soakJob{},
		orgs: []string{"harbour", "quay", "dock", "pier"}, guarantee: workers, maxAttempts: soakMoreAttempts,
		maxHold: []time.Duration{soakHold, soakLongHold}[seed%2],
	}
	p.drawMixedJobs(r)
	p.drawWaves(r)
	return p
}

// maxLost bounds the workers that end for good, so that every job still fits.
func (p *soakPlan) maxLost() int {
	return p.workers / 6
}

func (p *soakPlan) drawMixedJobs(r *rand.Rand) {
	share := 0.35 + 0.3*r.Float64()
	room := share * float64(p.workers*soakWorkerGPUs)
	for at, burst := time.Duration(0), 0; at < p.length; {
		j := p.drawMixedJob(r, at)
		p.jobs = append(p.jobs, j)
		p.byID[j.id] = j
		if burst == 0 && r.IntN(soakBurstOneIn) == 0 {
			burst = soakBurstJobs
		}
		if burst > 0 {
			burst--
			continue
		}
		at += time.Duration(j.demand() / room * r.ExpFloat64() * float64(time.Second))
	}
}

// demand returns the accelerator seconds of a job.
func (j *soakJob) demand() float64 {
	out := 0.0
	for _, x := range j.steps {
		out += float64(x.Count*x.GPUs) * j.work.Seconds()
	}
	return out
}

func (p *soakPlan) drawMixedJob(r *rand.Rand, at time.Duration) *soakJob {
	j := &soakJob{
		submitAt: at, id: fmt.Sprintf("%016x", len(p.jobs)+1), org: p.orgs[r.IntN(len(p.orgs))],
		queue: []string{"urgent", "urgent", "normal", "quiet"}[r.IntN(4)], isPoison: r.IntN(25) == 0,
		work: soakLeastWork + time.Duration(r.Int64N(int64(soakWorkSpread))),
	}
	for range 6 {
		j.hosts = append(j.hosts, r.IntN(p.hosts))
	}
	if r.IntN(20) == 0 {
		j.steps, j.isPoison = []soakStep{{Count: 1 + r.IntN(2), CPU: 1, GPUs: 1, Estimated: 1000, Lasts: true}}, false
		j.cancelAfter = p.length - at + time.Duration(r.Int64N(int64(soakCalmTime)))
		return j
	}
	for k := range 1 + r.IntN(4)/3 {
		x := p.drawMixedStep(r, j.work)
		if k > 0 {
			x.StartAfter = []int{0}
		}
		j.steps = append(j.steps, x)
	}
	if r.IntN(15) == 0 {
		j.cancelAfter = 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second)))
	}
	if r.IntN(6) == 0 {
		j.resubmitAfter = time.Duration(r.Int64N(int64(5 * time.Second)))
	}
	return j
}

// drawMixedStep draws a gang or independent tasks. A step that a label or a limit per worker restricts still fits on the
// workers that are left once others have ended for good.
func (p *soakPlan) drawMixedStep(r *rand.Rand, work time.Duration) soakStep {
	x := soakStep{
		Count: 1 + r.IntN(6), GPUs: []int{1, 1, 2, 4, 8}[r.IntN(5)], Gang: r.IntN(2) == 0,
		Estimated: time.Duration(float64(work) * math.Exp(0.6*r.NormFloat64())).Milliseconds(),
	}
	x.Count = max(min(x.Count, p.workers*soakWorkerGPUs/4/x.GPUs), 1)
	x.CPU = x.GPUs * (1 + r.IntN(8))
	x.Memory = min(x.GPUs*(2+r.IntN(20))<<10, soakWorkerMemory)
	x.Local = x.Gang && r.IntN(2) == 0
	switch r.IntN(8) {
	case 0, 1:
		x.Label, x.Count = soakKind(r.IntN(soakKinds)), min(x.Count, 2)
	case 2:
		x.PerWorker = 1 + r.IntN(2)
	case 3:
		x.Rack = soakRack(r.IntN(p.workers))
	}
	return x
}

// drawWaves draws faults that overlap in waves, each of which is over before a calm time begins.
func (p *soakPlan) drawWaves(r *rand.Rand) {
	for begin := 2 * time.Second; begin < p.length; {
		spread := time.Duration(r.Int64N(int64(soakWaveTime)))
		end := begin
		for range 1 + r.IntN(2+int(2*soakWaveFaults*spread.Seconds())) {
			f := soakFault{
				startAt: begin + time.Duration(r.Int64N(int64(spread)+1)), duration: 300*time.Millisecond + time.Duration(r.Int64N(int64(soakFaultTime))),
				kind: mixedFaultKinds[r.IntN(len(mixedFaultKinds))], host: r.IntN(2*p.hosts) - p.hosts, worker: r.IntN(p.workers), magnitude: r.IntN(1000),
			}
			end = max(end, f.startAt+f.duration)
			p.faults = append(p.faults, f)
		}
		begin = end + soakCalmTime + time.Duration(r.Int64N(int64(3*time.Second)))
	}
}
