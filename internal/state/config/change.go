package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// Kind is the type of a resource.
type Kind string

// Kinds of resource.
const (
	KindProfile      Kind = "Profile"
	KindOrganisation Kind = "Organisation"
	KindStop         Kind = "Stop"
	// KindPlanned is a planned change, named by its change id; an item can only remove it.
	KindPlanned Kind = "Planned"
)

// Item sets or removes one resource.
type Item struct {
	Kind Kind
	Name string
	// Version is the version that the item replaces; 0 creates the resource.
	Version uint64
	Remove  bool   `json:",omitempty"`
	JSON    []byte `json:",omitempty"`
}

// Change is an atomic change of several resources as stored in the log, with the verdict of the fold.
type Change struct {
	ID       string
	Offset   uint64
	At       time.Time
	Operator string
	Reason   string
	Items    []Item
	// From is when a planned change takes effect; zero means immediately.
	From time.Time
	// Apply is the id of the planned change that this change puts in force.
	Apply string `json:",omitempty"`
	// Forced is set when the operator accepted that the change breaks a promised notice.
	Forced bool `json:",omitempty"`
	// Conflict is set when the change expects another version of a resource than the one in force.
	Conflict *ErrVersionConflict `json:",omitempty"`
	// Problems is set when the change is invalid.
	Problems []string `json:",omitempty"`
}

// IsAccepted reports whether the fold accepted the change, even if a later one has replaced it since.
func (c Change) IsAccepted() bool {
	return c.Conflict == nil && len(c.Problems) == 0
}

// HasItem reports whether the change sets or removes the resource.
func (c Change) HasItem(k Kind, name string) bool {
	for _, i := range c.Items {
		if i.Kind == k && i.Name == name {
			return true
		}
	}
	return false
}

// Err returns nil for an accepted change, else an ErrVersionConflict or ErrInvalid.
func (c Change) Err() error {
	if c.Conflict != nil {
		return *c.Conflict
	}
	if len(c.Problems) > 0 {
		return ErrInvalid{Problems: c.Problems}
	}
	return nil
}

// ErrVersionConflict is returned when a change expects another version than the one in force.
type ErrVersionConflict struct {
	Kind Kind
	Name string
	// Want is the version that the change expects and Have the one in force; 0 means that the resource does not exist.
	Want uint64
	Have uint64
	// By is the operator who last set or removed the resource, if the history still has that change.
	By string
}

// Error names the expected version and the one in force.
func (e ErrVersionConflict) Error() string {
	by := ""
	if e.By != "" {
		by = " by " + e.By
	}
	switch {
	case e.Want == 0:
		return fmt.Sprintf("%s %s already exists at version %d%s", e.Kind, e.Name, e.Have, by)
	case e.Have == 0:
		return fmt.Sprintf("%s %s at version %d was removed%s", e.Kind, e.Name, e.Want, by)
	default:
		return fmt.Sprintf("%s %s is at version %d%s, not %d", e.Kind, e.Name, e.Have, by, e.Want)
	}
}

// ErrInvalid lists every problem of a change or a resource.
type ErrInvalid struct {
	Problems []string
}

// Error lists the problems, separated by semicolons.
func (e ErrInvalid) Error() string {
	return "invalid: " + strings.Join(e.Problems, "; ")
}

// NewRecord returns the log record of a change.
func NewRecord(c Change) *wire.Record {
	w := &wire.ConfigChange{Operator: c.Operator, Reason: c.Reason, Apply: c.Apply, Forced: c.Forced}
	if !c.From.IsZero() {
		w.FromUnixMillis = c.From.UnixMilli()
	}
	for _, i := range c.Items {
		w.Items = append(w.Items, &wire.ConfigItem{
			Kind:    string(i.Kind),
			Name:    i.Name,
			Version: i.Version,
			Remove:  i.Remove,
			Json:    i.JSON,
		})
	}
	return &wire.Record{Id: c.ID, Body: &wire.Record_Config{Config: w}}
}

func newChange(offset uint64, at time.Time, r *wire.Record) Change {
	w := r.GetConfig()
	c := Change{
		ID:       r.GetId(),
		Offset:   offset,
		At:       at,
		Operator: w.GetOperator(),
		Reason:   w.GetReason(),
		Apply:    w.GetApply(),
		Forced:   w.GetForced(),
	}
	if w.GetFromUnixMillis() != 0 {
		c.From = time.UnixMilli(w.GetFromUnixMillis()).UTC()
	}
	for _, i := range w.GetItems() {
		c.Items = append(c.Items, Item{
			Kind:    Kind(i.GetKind()),
			Name:    i.GetName(),
			Version: i.GetVersion(),
			Remove:  i.GetRemove(),
			JSON:    i.GetJson(),
		})
	}
	return c
}
