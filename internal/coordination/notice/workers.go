package notice

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// repairTime is how long a lost worker is expected to come back.
const repairTime = 24 * time.Hour

// seenWorker is a worker with the time at which it was last listed.
type seenWorker struct {
	worker fleet.Worker
	at     time.Time
}

// recentWorkers returns the workers listed within repairTime. A sudden loss cannot be announced in time, so lost
// workers still count as capacity until then.
func (n *Notices) recentWorkers() []fleet.Worker {
	now := n.clock.Now()
	ws := n.workers()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ws {
		n.seen[w.Name] = seenWorker{worker: w, at: now}
	}
	out := make([]fleet.Worker, 0, len(n.seen))
	for _, name := range sortedKeys(n.seen) {
		s := n.seen[name]
		if now.Sub(s.at) > repairTime {
			delete(n.seen, name)
			continue
		}
		out = append(out, s.worker)
	}
	return out
}
