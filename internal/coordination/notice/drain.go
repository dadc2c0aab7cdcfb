package notice

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// States of a planned stop.
const (
	// StopAnnounced has not begun; no work is started that would outlive its begin.
	StopAnnounced = "Announced"
	// StopDraining has begun, and tasks are left.
	StopDraining = "Draining"
	// StopSafe has begun, and nothing is left that it would cut off.
	StopSafe = "Safe"
	// StopUnknown has begun, and nobody could say what is left.
	StopUnknown = "Unknown"
	// StopOver has ended.
	StopOver = "Over"
)

// StopState says how far a planned stop has come, with the number of tasks that are left while it drains.
func (n *Notices) StopState(ctx context.Context, s config.Stop) string {
	now := n.clock.Now()
	switch {
	case now.Before(s.From):
		return StopAnnounced
	case !now.Before(s.Until):
		return StopOver
	case n.tasks == nil:
		return StopUnknown
	}
	left, err := n.tasks(ctx, s)
	switch {
	case err != nil:
		return StopUnknown
	case left > 0:
		return fmt.Sprintf("%s (%d tasks)", StopDraining, left)
	}
	return StopSafe
}

// watchStops notes in the time line when a stop has become safe.
func (n *Notices) watchStops(ctx context.Context) {
	c := n.config()
	for name, s := range c.Stops {
		if n.safe[name] == s.Version || !n.mine(s.Domain) || n.StopState(ctx, s) != StopSafe {
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
