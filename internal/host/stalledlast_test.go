package host

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
)

// restartTime is how long after its last run a task that lasts is not missed yet.
const restartTime = 6 * time.Second

// sampleLasting looks at the tasks of a job that last; each is missed by itself, whatever else of its job runs. on holds the worker of
// each task that runs.
func (m *stallMonitor) sampleLasting(j *knownJob, on map[port.RunRef]string, done map[port.RunRef]bool, room map[string]room) {
	for s, x := range j.steps {
		if !x.Lasts || !j.isDue(s, done) {
			continue
		}
		hasRoom := fitsTwice(j, s, room)
		for k := range x.Tasks {
			t := port.RunRef{Job: j.id, Step: s, Task: k}
			i := j.lasting[t]
			if i == nil {
				i = &idleTime{}
				j.lasting[t] = i
			}
			var workers []string
			if w := on[t]; w != "" {
				workers = []string{w}
			}
			isMissed := len(workers) == 0 && (i.lastSeen.IsZero() || time.Since(i.lastSeen) >= restartTime)
			m.note(j, i, workers, isMissed && hasRoom, func() string { return fmt.Sprintf("lasting task %d of %s", k, j.describe(s)) })
		}
	}
}
