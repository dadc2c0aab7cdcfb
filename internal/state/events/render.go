package events

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	timeLayout = "15:04:05.000"
	columnGap  = 2
)

// JSONEvent is the JSON form of an event, with the time in readable form beside the stamp.
type JSONEvent struct {
	At           time.Time
	Stamp        Stamp
	Host         string
	Kind         Kind
	Job          string `json:",omitempty"`
	Worker       string `json:",omitempty"`
	Organisation string `json:",omitempty"`
	Profile      string `json:",omitempty"`
	Text         string `json:",omitempty"`
}

// WriteText writes one event per line, in aligned columns.
func WriteText(w io.Writer, es []Event) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, e := range es {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", e.At.Time().UTC().Format(timeLayout), e.Host, e.Kind, e.Subject())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}

// Subject returns the job, worker, organisation, profile and text of the event, separated by spaces.
func (e Event) Subject() string {
	var parts []string
	for _, p := range []string{e.Job, e.Worker, e.Organisation, e.Profile, e.Text} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, " ")
}

// WriteJSON writes one JSON object per line.
func WriteJSON(w io.Writer, es []Event) error {
	j := json.NewEncoder(w)
	for _, e := range es {
		l := JSONEvent{
			At:           e.At.Time().UTC(),
			Stamp:        e.At,
			Host:         e.Host,
			Kind:         e.Kind,
			Job:          e.Job,
			Worker:       e.Worker,
			Organisation: e.Organisation,
			Profile:      e.Profile,
			Text:         e.Text,
		}
		if err := j.Encode(l); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// ReadJSON parses the output of WriteJSON.
func ReadJSON(r io.Reader) ([]Event, error) {
	var es []Event
	d := json.NewDecoder(r)
	for d.More() {
		var l JSONEvent
		if err := d.Decode(&l); err != nil {
			return nil, fmt.Errorf("read timeline: %w", err)
		}
		es = append(es, Event{
			At:           l.Stamp,
			Host:         l.Host,
			Kind:         l.Kind,
			Job:          l.Job,
			Worker:       l.Worker,
			Organisation: l.Organisation,
			Profile:      l.Profile,
			Text:         l.Text,
		})
	}
	return es, nil
}
