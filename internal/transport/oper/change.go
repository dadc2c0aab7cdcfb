package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
)

// ItemRequest creates, updates or removes one resource.
type ItemRequest struct {
	Kind config.Kind
	Name string
	// Version is the version of the resource that the item replaces; 0 creates the resource.
	Version  uint64
	Remove   bool            `json:",omitempty"`
	Resource json.RawMessage `json:",omitempty"`
}

// ChangeRequest is an all-or-nothing change; ID makes a repeat idempotent.
type ChangeRequest struct {
	ID     string
	Reason string
	// From schedules the change for a later time; without it the change takes effect immediately.
	From *time.Time `json:",omitempty"`
	// Force applies the change even if it violates a promised notice period; the change is then recorded as forced.
	Force bool `json:",omitempty"`
	Items []ItemRequest
}

// ItemView is one resource of a change.
type ItemView struct {
	Kind     config.Kind
	Name     string
	Version  uint64
	Remove   bool            `json:",omitempty"`
	Resource json.RawMessage `json:",omitempty"`
}

// ChangeView is a change and whether it was accepted.
type ChangeView struct {
	ID       string
	Offset   uint64
	At       time.Time
	Operator string
	Reason   string
	Items    []ItemView
	From     *time.Time `json:",omitempty"`
	Apply    string     `json:",omitempty"`
	Forced   bool       `json:",omitempty"`
	// Refused is the reason why the change was rejected; it is empty for an accepted change.
	Refused string `json:",omitempty"`
}

// ChangesView lists changes, oldest first.
type ChangesView struct {
	Changes []ChangeView
}

// wrapBodyError distinguishes a body that exceeds the size limit from one that cannot be parsed.
func wrapBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("read body: %w", err)
	}
	return ErrRequestInvalid{Why: err.Error()}
}

func (s *Server) createChange(w http.ResponseWriter, r *http.Request) {
	op, err := s.operator(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	var q ChangeRequest
	if err := decode(w, r, &q); err != nil {
		s.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	c, err := s.Policy.Publish(ctx, q.request(op))
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newChangeView(c))
}

func (q ChangeRequest) request(operator string) policy.Request {
	p := policy.Request{ID: q.ID, Operator: operator, Reason: q.Reason, Force: q.Force}
	if q.From != nil {
		p.From = *q.From
	}
	for _, i := range q.Items {
		p.Items = append(p.Items, config.Item{
			Kind:    i.Kind,
			Name:    i.Name,
			Version: i.Version,
			Remove:  i.Remove,
			JSON:    i.Resource,
		})
	}
	return p
}

func newChangeView(c config.Change) ChangeView {
	v := ChangeView{
		ID:       c.ID,
		Offset:   c.Offset,
		At:       c.At,
		Operator: c.Operator,
		Reason:   c.Reason,
		Apply:    c.Apply,
		Forced:   c.Forced,
	}
	if !c.From.IsZero() {
		v.From = &c.From
	}
	if err := c.Err(); err != nil {
		v.Refused = err.Error()
	}
	for _, i := range c.Items {
		x := ItemView{Kind: i.Kind, Name: i.Name, Version: i.Version, Remove: i.Remove}
		if json.Valid(i.JSON) {
			x.Resource = i.JSON
		}
		v.Items = append(v.Items, x)
	}
	return v
}

func newChangesView(cs []config.Change) ChangesView {
	v := ChangesView{Changes: []ChangeView{}}
	for _, c := range cs {
		v.Changes = append(v.Changes, newChangeView(c))
	}
	return v
}

func (s *Server) findChanges(w http.ResponseWriter, r *http.Request) {
	f := config.HistoryFilter{
		Kind:  config.Kind(r.URL.Query().Get("Kind")),
		Name:  r.URL.Query().Get("Name"),
		Limit: parseLimit(r),
	}
	writeJSON(w, http.StatusOK, newChangesView(s.Policy.State().FindHistory(f)))
}
