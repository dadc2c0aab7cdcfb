package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// WithChange returns the configuration after the change, or ErrVersionConflict or ErrInvalid.
//
// The result depends on the arguments only, so that every host comes to the same verdict.
func (c Config) WithChange(ch Change) (Config, error) {
	if err := ch.check(); err != nil {
		return c, err
	}
	for _, i := range ch.Items {
		if have := c.Version(i.Kind, i.Name); have != i.Version {
			return c, ErrVersionConflict{Kind: i.Kind, Name: i.Name, Want: i.Version, Have: have}
		}
	}
	n := c.clone()
	var x problems
	for _, i := range ch.Items {
		x.addError(n.put(i, ch.Offset))
	}
	if len(x) == 0 {
		x.addError(n.Check())
	}
	if len(x) > 0 {
		return c, x.err()
	}
	return n, nil
}

// addError appends the problems of an ErrInvalid one by one, and any other error as one problem.
func (p *problems) addError(err error) {
	if err == nil {
		return
	}
	var e ErrInvalid
	if errors.As(err, &e) {
		*p = append(*p, e.Problems...)
		return
	}
	p.add("%v", err)
}

// check validates the change itself, without the content of its resources.
func (ch Change) check() error {
	var x problems
	if ch.ID == "" || len(ch.ID) > MaxTextBytes {
		x.add("change id is empty or longer than %d bytes", MaxTextBytes)
	}
	if ch.Operator == "" || len(ch.Operator) > MaxTextBytes {
		x.add("operator is empty or longer than %d bytes", MaxTextBytes)
	}
	if ch.Reason == "" || len(ch.Reason) > MaxTextBytes {
		x.add("reason is empty or longer than %d bytes", MaxTextBytes)
	}
	if (len(ch.Items) == 0 && ch.Apply == "") || len(ch.Items) > MaxItems {
		x.add("number of items %d is not between 1 and %d", len(ch.Items), MaxItems)
	}
	type ref struct {
		kind Kind
		name string
	}
	seen := map[ref]bool{}
	for _, i := range ch.Items {
		r := ref{i.Kind, i.Name}
		if seen[r] {
			x.add("%s %s: duplicate item in one change", i.Kind, i.Name)
		}
		seen[r] = true
		if i.Remove && i.Version == 0 {
			x.add("%s %s: removal requires the version of the resource", i.Kind, i.Name)
		}
	}
	return x.err()
}

// put sets or removes one resource in the maps of c, which the caller has cloned.
func (c *Config) put(i Item, version uint64) error {
	switch i.Kind {
	case KindProfile:
		return putResource(c.Profiles, i, func(p *Profile) string {
			p.Version = version
			return p.Name
		})
	case KindOrganisation:
		return putResource(c.Organisations, i, func(o *Organisation) string {
			o.Version = version
			return o.Name
		})
	case KindStop:
		return putResource(c.Stops, i, func(s *Stop) string {
			s.Version = version
			return s.Name
		})
	case KindPlanned:
		if !i.Remove {
			return fmt.Errorf("planned change %s can only be removed", i.Name)
		}
		delete(c.Planned, i.Name)
		return nil
	default:
		return fmt.Errorf("kind %q of %s is not Profile, Organisation or Stop", i.Kind, i.Name)
	}
}

// addPlanned stores an accepted change that takes effect later.
func (c Config) addPlanned(ch Change) (Config, error) {
	if len(c.Planned) >= MaxPlannedChanges {
		return c, ErrInvalid{Problems: []string{fmt.Sprintf("limit of planned changes reached: %d", len(c.Planned))}}
	}
	n := c.clone()
	n.Planned[ch.ID] = ch
	return n, nil
}

// applyPlanned puts a planned change in force and removes it from the planned ones, even if it is no longer valid.
func (c Config) applyPlanned(id string, offset uint64) (Config, error) {
	ch, ok := c.Planned[id]
	if !ok {
		return c, ErrInvalid{Problems: []string{fmt.Sprintf("planned change %s does not exist", id)}}
	}
	c = c.clone()
	delete(c.Planned, id)
	ch.Offset = offset
	return c.WithChange(ch)
}

// apply puts the change in force, stores it as planned or refuses it, and returns the resulting configuration.
func (c Config) apply(ch Change) (Config, error) {
	if ch.Apply != "" {
		return c.applyPlanned(ch.Apply, ch.Offset)
	}
	n, err := c.WithChange(ch)
	if err != nil || !ch.From.After(ch.At) {
		return n, err
	}
	return c.addPlanned(ch)
}

type checker interface {
	Check() error
}

func putResource[V checker](m map[string]V, i Item, setVersion func(*V) string) error {
	if i.Remove {
		delete(m, i.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(i.JSON, &v); err != nil {
		return fmt.Errorf("decode %s %s: %w", i.Kind, i.Name, err)
	}
	if name := setVersion(&v); name != i.Name {
		return fmt.Errorf("%s %s: name in JSON is %q", i.Kind, i.Name, name)
	}
	if err := v.Check(); err != nil {
		return err
	}
	m[i.Name] = v
	return nil
}
