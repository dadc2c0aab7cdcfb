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

// ItemRequest sets or removes one resource.
type ItemRequest struct {
	Kind config.Kind
	Name string
	// Version is the version that the item revises; 0 creates the resource.
	Version  uint64
	Remove   bool            `json:",omitempty"`
	Resource json.RawMessage `json:",omitempty"`
}

// ChangeRequest is an all-or-nothing change; ID makes a repeat idempotent.
type ChangeRequest struct {
	ID     string
	Reason string
	// From plans the change for a later time; it is left out for a change at once.
	From *time.Time `json:",omitempty"`
	// Force breaks a promised notice, and records that.
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

// ChangeView is a change with its verdict.
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
	// Refused says why the change is not in force; it is empty when the change was accepted.
	Refused string `json:",omitempty"`
}

// ChangesView lists changes, oldest first.
type ChangesView struct {
	Changes []ChangeView
}

// wrapBody keeps the error of a body that is too large apart from one that cannot be parsed.
func wrapBody(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("read body: %w", err)
	}
	return ErrRequestInvalid{Why: err.Error()}
}

func (s *Server) createChange(w http.ResponseWriter, r *http.Request) {
	op, err := s.operator(r)
	if err != nil {
		s.fail(w, err)
		return
	}
	var q ChangeRequest
	if err := decode(w, r, &q); err != nil {
		s.fail(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeBound)
	defer cancel()
	c, err := s.Policy.Publish(ctx, q.request(op))
	if err != nil {
		s.fail(w, err)
		return
	}
	render(w, http.StatusOK, viewChange(c))
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

func viewChange(c config.Change) ChangeView {
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

func viewChanges(cs []config.Change) ChangesView {
	v := ChangesView{Changes: []ChangeView{}}
	for _, c := range cs {
		v.Changes = append(v.Changes, viewChange(c))
	}
	return v
}

func (s *Server) findChanges(w http.ResponseWriter, r *http.Request) {
	f := config.HistoryFilter{
		Kind:  config.Kind(r.URL.Query().Get("Kind")),
		Name:  r.URL.Query().Get("Name"),
		Limit: limit(r),
	}
	render(w, http.StatusOK, viewChanges(s.Policy.State().FindHistory(f)))
}
