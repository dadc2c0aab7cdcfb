package standin

import (
	"fmt"

	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/cespare/xxhash/v2"
)

// Check compares the outcomes that the callers received with the starts that the workers recorded, and returns every
// violation.
//
// No job may end as Unknown, a job that is done must have started, a refused job must not have started, no task or
// idempotency key may start twice, no gang may start in part, and every answer must be the one that the job's tasks gave.
func Check(r Report, starts []Start, l Load) []string {
	c := checker{startsByAttempt: map[gangAttempt][]Start{}, attemptsByKey: map[string]map[gangAttempt]bool{}, startCounts: map[string]int{}}
	for _, s := range starts {
		c.addStart(s)
	}
	tasks := map[string]int{}
	for _, e := range r.Ended {
		tasks[e.Job] = e.Tasks
		c.checkResult(e, l)
	}
	c.checkKeys()
	c.checkGangs(tasks)
	return c.violations
}

// gangAttempt identifies one attempt at running a job.
type gangAttempt struct {
	job     string
	attempt int
}

type checker struct {
	startsByAttempt map[gangAttempt][]Start
	attemptsByKey   map[string]map[gangAttempt]bool
	startCounts     map[string]int
	violations      []string
}

func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) addStart(s Start) {
	g := gangAttempt{s.Job, s.Attempt}
	for _, o := range c.startsByAttempt[g] {
		if o.Task == s.Task {
			c.violate("duplicate start: task %d of %s on %s and on %s", s.Task, s.Job, o.Worker, s.Worker)
		}
	}
	c.startsByAttempt[g] = append(c.startsByAttempt[g], s)
	c.startCounts[s.Job]++
	if s.Key == "" {
		return
	}
	if c.attemptsByKey[s.Key] == nil {
		c.attemptsByKey[s.Key] = map[gangAttempt]bool{}
	}
	c.attemptsByKey[s.Key][g] = true
}

func (c *checker) checkResult(e Ended, l Load) {
	started := c.startCounts[e.Job]
	switch {
	case e.Kind == client.Unknown:
		c.violate("lost: the caller received no outcome: %s", e.Reason)
	case e.Kind == client.Refused && started > 0:
		c.violate("%s was refused as not run, but %d tasks of it started", e.Job, started)
	case e.Kind == client.Done && started == 0:
		c.violate("lost: %s is done, but no worker started it", e.Job)
	case e.Kind == client.Done:
		c.checkAnswer(e, l)
	}
}

func (c *checker) checkAnswer(e Ended, l Load) {
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
	c.violate("wrong answer for %s: %d bytes that differ from what its tasks gave", e.Job, e.AnswerBytes)
}

func (c *checker) checkKeys() {
	for k, gs := range c.attemptsByKey {
		if len(gs) > 1 {
			c.violate("duplicate start: key %s in %d attempts", k, len(gs))
		}
	}
}

func (c *checker) checkGangs(tasks map[string]int) {
	for g, ss := range c.startsByAttempt {
		want, ok := tasks[g.job]
		if ok && len(ss) != want {
			c.violate("partial: %d of %d tasks of %s started in attempt %d", len(ss), want, g.job, g.attempt)
		}
	}
}
