package notice

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// States of a planned stop.
const (
	// StopAnnounced is a stop that has not begun; no work is started that would run past its start.
	StopAnnounced = "Announced"
	// StopDraining is a stop that has begun while tasks still run on its target.
	StopDraining = "Draining"
	// StopSafe is a stop that has begun and would interrupt no task.
	StopSafe = "Safe"
	// StopUnknown is a stop that has begun while the number of running tasks cannot be determined.
	StopUnknown = "Unknown"
	// StopOver is a stop that has ended.
	StopOver = "Over"
)

// StopState returns the state of a planned stop, with the number of running tasks while it drains.
func (n *Notices) StopState(ctx context.Context, s config.Stop) string {
	now := n.clock.Now()
	switch {
	case now.Before(s.From):
		return StopAnnounced
	case !now.Before(s.Until):
		return StopOver
	case n.countTasks == nil:
		return StopUnknown
	}
	left, err := n.countTasks(ctx, s)
	switch {
	case err != nil:
		return StopUnknown
	case left > 0:
		return fmt.Sprintf("%s (%d tasks)", StopDraining, left)
	}
	return StopSafe
}

// watchStops records in the time line when a stop of an owned failure domain becomes safe, once per version of the
// stop.
func (n *Notices) watchStops(ctx context.Context) {
	c := n.config()
	for name, s := range c.Stops {
		if n.safe[name] == s.Version || !n.ownsDomain(s.Domain) || n.StopState(ctx, s) != StopSafe {
			continue
		}
		n.safe[name] = s.Version
		n.events.Add(events.Event{Kind: events.StopSafe, Text: fmt.Sprintf("%s %s in %s: %s", s.Kind, s.Target, s.Domain, name)})
	}
	for name := range n.safe {
		if _, ok := c.Stops[name]; !ok {
			delete(n.safe, name)
		}
	}
}
