package notice

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// repairTime is how long a worker that was lost is expected back.
const repairTime = 24 * time.Hour

type seenWorker struct {
	worker fleet.Worker
	at     time.Time
}

// fleet returns the workers that are there or were until lately; a sudden loss is no shortage that can be foreseen.
func (n *Notices) fleet() []fleet.Worker {
	now := n.clock.Now()
	ws := n.workers()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ws {
		n.seen[w.Name] = seenWorker{worker: w, at: now}
	}
	out := make([]fleet.Worker, 0, len(n.seen))
	for _, name := range sortedNames(n.seen) {
		s := n.seen[name]
		if now.Sub(s.at) > repairTime {
			delete(n.seen, name)
			continue
		}
		out = append(out, s.worker)
	}
	return out
}
