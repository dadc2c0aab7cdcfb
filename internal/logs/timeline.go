package logs

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

// kindByMessage maps the messages of log lines that are events to their kinds. The messages have to match those of the
// packages that log them.
var kindByMessage = map[string]events.Kind{
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

// timelineHandler passes lines to the embedded handler and adds those that are events to a ring.
type timelineHandler struct {
	slog.Handler
	ring *events.Ring
}

// NewTimelineHandler returns a handler that passes lines to h and adds those that are events to a ring.
func NewTimelineHandler(h slog.Handler, r *events.Ring) slog.Handler {
	return &timelineHandler{h, r}
}

// Enabled also returns true for levels that the embedded handler does not log, since their lines can be events.
func (t *timelineHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || t.Handler.Enabled(ctx, l)
}

// Handle adds the line to the ring if it is an event, and passes it to the embedded handler if that logs its level.
func (t *timelineHandler) Handle(ctx context.Context, r slog.Record) error {
	if k, ok := kindByMessage[r.Message]; ok {
		t.ring.Add(newEvent(k, r))
	}
	if !t.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	if err := t.Handler.Handle(ctx, r); err != nil {
		return fmt.Errorf("write log line: %w", err)
	}
	return nil
}

func newEvent(k events.Kind, r slog.Record) events.Event {
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

// WithAttrs returns a handler with the attributes and the same ring.
func (t *timelineHandler) WithAttrs(as []slog.Attr) slog.Handler {
	return &timelineHandler{t.Handler.WithAttrs(as), t.ring}
}

// WithGroup returns a handler with the group and the same ring.
func (t *timelineHandler) WithGroup(name string) slog.Handler {
	return &timelineHandler{t.Handler.WithGroup(name), t.ring}
}
