package entry

import (
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// check validates a submission and returns its profile. It sets the default of Shape.Adjacent. An error means that the
// request cannot be accepted under the configuration in force.
func (s *Server) check(q *JobRequest) (config.Profile, error) {
	c := s.config()
	p, ok := c.Profiles[q.Profile]
	if !ok {
		return p, ErrRequestInvalid{What: "Profile " + q.Profile, Why: "is not published"}
	}
	if _, ok := c.Organisations[q.Organisation]; !ok {
		return p, ErrRequestInvalid{What: "Organisation " + q.Organisation, Why: "is not configured"}
	}
	if len(p.Organisations) > 0 && !slices.Contains(p.Organisations, q.Organisation) {
		return p, ErrRequestInvalid{What: "Profile " + q.Profile, Why: "is not available to " + q.Organisation}
	}
	if p.Once && q.Key == "" {
		return p, ErrRequestInvalid{What: "Key", Why: "is missing; the profile runs jobs at most once and needs an idempotency key"}
	}
	if q.RunTimeMillis < 0 || q.DeadlineMillis < 0 {
		return p, ErrRequestInvalid{What: "RunTimeMillis or DeadlineMillis", Why: "is negative"}
	}
	if q.Shape == nil {
		return p, ErrRequestInvalid{What: "Shape", Why: "is missing"}
	}
	if q.Shape.GetAdjacent() == "" {
		q.Shape.Adjacent = string(fleet.LevelRack)
	}
	h := fleet.Shape{
		Tasks:        int(q.Shape.GetTasks()),
		Accelerators: int(q.Shape.GetAccelerators()),
		Processors:   int(q.Shape.GetProcessors()),
		Memory:       fleet.Bytes(q.Shape.GetMemoryBytes()),
		Adjacent:     fleet.Level(q.Shape.GetAdjacent()),
	}
	if err := h.Check(); err != nil {
		return p, fmt.Errorf("check shape: %w", err)
	}
	return p, nil
}
