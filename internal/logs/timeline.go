package logs

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

// kinds are the events that the lines of the log stand for, by message; other lines are no events.
var kinds = map[string]events.Kind{
	"job accepted":              events.JobAccepted,
	"cancel accepted":           events.JobCancelled,
	"unit starts":               events.JobPlaced,
	"unit stops":                events.JobStopped,
	"job ends":                  events.JobDone,
	"ownership gained":          events.OwnerChanged,
	"ownership lost":            events.OwnerLapsed,
	"configuration in force":    events.ConfigInForce,
	"worker listed":             events.WorkerUp,
	"worker has a new lifetime": events.WorkerUp,
	"worker answers again":      events.WorkerRestored,
	"worker is silent":          events.WorkerDown,
	"worker unlisted":           events.WorkerDown,
	"dependency lost":           events.LogDown,
	"dependency regained":       events.LogUp,
	"host is ready":             events.MemberUp,
	"host is not ready":         events.MemberSuspect,
	"leaving":                   events.MemberLeaving,
}

// timeline passes lines on and adds those that are events to a ring.
type timeline struct {
	slog.Handler
	ring *events.Ring
}

// NewTimeline returns a handler that also adds the events among the lines to a ring.
func NewTimeline(h slog.Handler, r *events.Ring) slog.Handler {
	return &timeline{h, r}
}

// Enabled takes every line that may be an event, whatever level is logged.
func (t *timeline) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || t.Handler.Enabled(ctx, l)
}

// Handle adds the line to the ring if it is an event, and passes it on if its level is logged.
func (t *timeline) Handle(ctx context.Context, r slog.Record) error {
	if k, ok := kinds[r.Message]; ok {
		t.ring.Add(event(k, r))
	}
	if !t.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	if err := t.Handler.Handle(ctx, r); err != nil {
		return fmt.Errorf("pass line on: %w", err)
	}
	return nil
}

func event(k events.Kind, r slog.Record) events.Event {
	e := events.Event{Kind: k}
	text := []string{r.Message}
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "Job":
			e.Job = a.Value.String()
		case "Worker":
			e.Worker = a.Value.String()
		case "Organisation":
			e.Organisation = a.Value.String()
		case "Queue":
			e.Profile = a.Value.String()
		default:
			text = append(text, a.Key+" "+a.Value.String())
		}
		return true
	})
	e.Text = strings.Join(text, ", ")
	return e
}

// WithAttrs keeps the ring.
func (t *timeline) WithAttrs(as []slog.Attr) slog.Handler {
	return &timeline{t.Handler.WithAttrs(as), t.ring}
}

// WithGroup keeps the ring.
func (t *timeline) WithGroup(name string) slog.Handler {
	return &timeline{t.Handler.WithGroup(name), t.ring}
}
