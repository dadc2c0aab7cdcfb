package standin

import (
	"fmt"

	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/cespare/xxhash/v2"
)

// Check compares what the callers heard with what the workers started, and returns every contradiction.
//
// No job may end as Unknown for its caller, nothing that is done may have been lost, nothing that is refused may have started, no key may have started twice,
// no gang may have started in part, and every answer has to be the one that the job's tasks gave.
func Check(r Report, starts []Start, l Load) []string {
	c := checker{gangs: map[gang][]Start{}, keys: map[string]map[gang]bool{}, jobs: map[string]int{}}
	for _, s := range starts {
		c.add(s)
	}
	tasks := map[string]int{}
	for _, e := range r.Ended {
		tasks[e.Job] = e.Tasks
		c.ended(e, l)
	}
	c.once()
	c.whole(tasks)
	return c.faults
}

type gang struct {
	job     string
	attempt int
}

type checker struct {
	gangs  map[gang][]Start
	keys   map[string]map[gang]bool
	jobs   map[string]int
	faults []string
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) add(s Start) {
	g := gang{s.Job, s.Attempt}
	for _, o := range c.gangs[g] {
		if o.Task == s.Task {
			c.fault("doubled: task %d of %s started on %s and on %s", s.Task, s.Job, o.Worker, s.Worker)
		}
	}
	c.gangs[g] = append(c.gangs[g], s)
	c.jobs[s.Job]++
	if s.Key == "" {
		return
	}
	if c.keys[s.Key] == nil {
		c.keys[s.Key] = map[gang]bool{}
	}
	c.keys[s.Key][g] = true
}

func (c *checker) ended(e Ended, l Load) {
	started := c.jobs[e.Job]
	switch {
	case e.Kind == client.Unknown:
		c.fault("lost: the caller never heard what became of %s", e.Reason)
	case e.Kind == client.Refused && started > 0:
		c.fault("%s was refused as not run, but %d tasks of it started", e.Job, started)
	case e.Kind == client.Done && started == 0:
		c.fault("lost: %s is done, but no worker started it", e.Job)
	case e.Kind == client.Done:
		c.answer(e, l)
	}
}

func (c *checker) answer(e Ended, l Load) {
	for _, s := range l.Streams {
		if s.Profile != e.Profile || s.Organisation != e.Organisation {
			continue
		}
		d := xxhash.New()
		for t := range e.Tasks {
			_, _ = d.Write(Answer(e.Job, t, s.Work.AnswerBytes))
		}
		if d.Sum64() == e.AnswerDigest {
			return
		}
	}
	c.fault("the answer of %s, %d bytes, is not the one that its tasks gave", e.Job, e.AnswerBytes)
}

func (c *checker) once() {
	for k, gs := range c.keys {
		if len(gs) > 1 {
			c.fault("doubled: key %s was started %d times", k, len(gs))
		}
	}
}

func (c *checker) whole(tasks map[string]int) {
	for g, ss := range c.gangs {
		want, ok := tasks[g.job]
		if ok && len(ss) != want {
			c.fault("partial: %d of %d tasks of %s started in attempt %d", len(ss), want, g.job, g.attempt)
		}
	}
}
