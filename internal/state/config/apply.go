package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// WithChange returns the configuration that the change would leave, or ErrVersionConflict or ErrInvalid.
//
// It depends on nothing but its arguments, so that every host comes to the same verdict.
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
		x.join(n.put(i, ch.Offset))
	}
	if len(x) == 0 {
		x.join(n.Check())
	}
	if len(x) > 0 {
		return c, x.err()
	}
	return n, nil
}

// join adds the problems of an ErrInvalid one by one, and any other error as one problem.
func (p *problems) join(err error) {
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

// check looks at the change without its resources.
func (ch Change) check() error {
	var x problems
	if ch.ID == "" || len(ch.ID) > MaxText {
		x.add("change id is empty or longer than %d bytes", MaxText)
	}
	if ch.Operator == "" || len(ch.Operator) > MaxText {
		x.add("operator is empty or longer than %d bytes", MaxText)
	}
	if ch.Reason == "" || len(ch.Reason) > MaxText {
		x.add("reason is empty or longer than %d bytes", MaxText)
	}
	if (len(ch.Items) == 0 && ch.Apply == "") || len(ch.Items) > MaxItems {
		x.add("%d items are not between 1 and %d", len(ch.Items), MaxItems)
	}
	type ref struct {
		kind Kind
		name string
	}
	seen := map[ref]bool{}
	for _, i := range ch.Items {
		r := ref{i.Kind, i.Name}
		if seen[r] {
			x.add("%s %s stands twice in one change", i.Kind, i.Name)
		}
		seen[r] = true
		if i.Remove && i.Version == 0 {
			x.add("%s %s is removed without the version that is meant", i.Kind, i.Name)
		}
	}
	return x.err()
}

// put sets or removes one resource in place.
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

// plan keeps an accepted change for later instead of putting it in force.
func (c Config) plan(ch Change) (Config, error) {
	if len(c.Planned) >= MaxPlanned {
		return c, ErrInvalid{Problems: []string{fmt.Sprintf("%d changes are planned already", len(c.Planned))}}
	}
	n := c.clone()
	n.Planned[ch.ID] = ch
	return n, nil
}

// putPlanned puts a planned change in force and forgets the plan, whether or not it still fits.
func (c Config) putPlanned(id string, offset uint64) (Config, error) {
	ch, ok := c.Planned[id]
	if !ok {
		return c, ErrInvalid{Problems: []string{fmt.Sprintf("planned change %s does not exist", id)}}
	}
	c = c.clone()
	delete(c.Planned, id)
	ch.Offset = offset
	return c.WithChange(ch)
}

// settle returns the configuration after the change, which is put in force, planned or refused.
func (c Config) settle(ch Change) (Config, error) {
	if ch.Apply != "" {
		return c.putPlanned(ch.Apply, ch.Offset)
	}
	n, err := c.WithChange(ch)
	if err != nil || !ch.From.After(ch.At) {
		return n, err
	}
	return c.plan(ch)
}

type checker interface {
	Check() error
}

func putResource[V checker](m map[string]V, i Item, stamp func(*V) string) error {
	if i.Remove {
		delete(m, i.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(i.JSON, &v); err != nil {
		return fmt.Errorf("read %s %s: %w", i.Kind, i.Name, err)
	}
	if name := stamp(&v); name != i.Name {
		return fmt.Errorf("%s %s calls itself %q", i.Kind, i.Name, name)
	}
	if err := v.Check(); err != nil {
		return err
	}
	m[i.Name] = v
	return nil
}
