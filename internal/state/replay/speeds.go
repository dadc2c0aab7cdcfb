package replay

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/speed"
)

// Option configures a replay.
type Option func(*Driver)

// WithSpeeds sets the speed of each worker at a time, relative to the run times of the trace; the policy is told what the progress of
// gangs shows of it.
func WithSpeeds(f func(worker string, at time.Time) float64) Option {
	return func(d *Driver) { d.speedOf = f }
}

// slowestSpeed returns the speed of the slowest worker of the current attempt, which is that of its gang.
func (d *Driver) slowestSpeed(r *jobState) float64 {
	if d.speedOf == nil {
		return 1
	}
	out := 0.0
	for _, a := range r.placement {
		if x := d.speedOf(a.Worker, r.started); out == 0 || x < out {
			out = x
		}
	}
	return out
}

// observeSpeeds reports the progress of the tasks of a gang that ends, as of a quarter and of half of its time.
func (d *Driver) observeSpeeds(r *jobState) {
	if d.speedOf == nil || d.policy.SetSlowness == nil || len(r.placement) < 2 {
		return
	}
	g := speed.Group{Name: fmt.Sprintf("%s/%d", r.job.ID, r.attempt), IsGang: true}
	ran := d.now.Sub(r.started)
	for i, a := range r.placement {
		rate := d.speedOf(a.Worker, r.started) / r.truth.Ran.Seconds()
		for _, at := range []time.Duration{ran / 4, ran / 2} {
			d.speeds.Observe(g, speed.Reading{Worker: a.Worker, Task: i, Run: r.attempt, Percent: int(100 * rate * at.Seconds()), Clock: at})
		}
	}
	for _, c := range d.speeds.Update() {
		d.policy.SetSlowness(c.Worker, c.Slowness)
	}
}

// countInTime returns the jobs with a turnaround target and those of them that met it.
func (d *Driver) countInTime() (timed, inTime int) {
	for _, r := range d.jobs {
		if r.job.Stretch == 0 {
			continue
		}
		timed++
		if r.outcome == "Done" && r.ended.Sub(r.job.Submitted).Seconds() <= r.job.Stretch*r.truth.Ran.Seconds() {
			inTime++
		}
	}
	return timed, inTime
}
