package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

type timelineCmd struct {
	Job          string `arg:"--job" help:"only events of this job"`
	Worker       string `arg:"--worker" help:"only events of this worker"`
	Organisation string `arg:"--organisation" help:"only events of this organisation"`
	Profile      string `arg:"--profile" help:"only events of this profile"`
	Limit        int    `arg:"--limit" default:"5000" help:"maximum number of events from each host"`
	Picture      string `arg:"--picture" help:"write the time line as one self-contained SVG to this file"`
}

// Examples returns the examples at the end of the help text.
func (*timelineCmd) Examples() string {
	return "cleatctl timeline --job north-quay.k0123456789ab\n" +
		"cleatctl timeline --organisation registry --json\n" +
		"cleatctl timeline --picture timeline.svg"
}

// Run fetches the events from all status addresses and merges those of the hosts that answer.
func (x *timelineCmd) Run(ctx context.Context, c *cli) error {
	q := url.Values{}
	q.Set("Job", x.Job)
	q.Set("Worker", x.Worker)
	q.Set("Organisation", x.Organisation)
	q.Set("Profile", x.Profile)
	q.Set("Limit", strconv.Itoa(x.Limit))
	rs, err := queryAll[wire.TimelineReply](ctx, c, "/v1/timeline?"+q.Encode())
	if err != nil {
		return err
	}
	var lists [][]events.Event
	for _, a := range rs {
		if a.Err != nil {
			continue
		}
		if d := a.Reply.GetDropped(); d > 0 {
			_, _ = fmt.Fprintf(c.Err, "%s has dropped %d older events\n", a.Reply.GetHost(), d)
		}
		lists = append(lists, toEvents(a.Reply))
	}
	return x.render(c, events.Merge(lists...))
}

func toEvents(t *wire.TimelineReply) []events.Event {
	var es []events.Event
	for _, e := range t.GetEvents() {
		es = append(es, events.Event{
			At:           events.Stamp(e.GetClock()),
			Host:         e.GetHost(),
			Kind:         events.Kind(e.GetKind()),
			Job:          e.GetJob(),
			Worker:       e.GetWorker(),
			Organisation: e.GetOrganisation(),
			Profile:      e.GetProfile(),
			Text:         e.GetText(),
		})
	}
	return es
}

func (x *timelineCmd) render(c *cli, es []events.Event) error {
	switch {
	case x.Picture != "":
		return x.writePicture(c, es)
	case c.JSON:
		return events.WriteJSON(c.Out, es)
	default:
		return events.WriteText(c.Out, es)
	}
}

func (x *timelineCmd) writePicture(c *cli, es []events.Event) error {
	f, err := os.Create(x.Picture)
	if err != nil {
		return fmt.Errorf("create picture: %w", err)
	}
	if err := events.WriteSVG(f, es); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close picture: %w", err)
	}
	_, err = fmt.Fprintf(c.Out, "%s: %d events\n", x.Picture, len(es))
	return err
}
