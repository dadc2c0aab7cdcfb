package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// runTimeOn returns the expected run time that remains for a job on the given sites, which is that of its slowest task.
func (p *Planner) runTimeOn(e *entry, _ []*place.Site) time.Duration {
	return p.runTime(e)
}
