package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// span is a duration that JSON holds as text, such as "3.6s".
type span time.Duration

// MarshalText renders the duration in Go's notation.
func (s span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText parses Go's notation.
func (s *span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*s = span(d)
	return nil
}

type guaranteeJSON struct {
	Organisation string
	Domain       string
	Gangs        int
	Tasks        int
	Accelerators int
	Processors   int
	MemoryBytes  fleet.Bytes
	Adjacent     fleet.Level
}

type profileJSON struct {
	Name          string
	Version       uint64 `json:",omitempty"`
	Urgency       Urgency
	WaitBound     span
	Organisations []string        `json:",omitempty"`
	Guarantees    []guaranteeJSON `json:",omitempty"`
	Once          bool            `json:",omitempty"`
	Stoppable     bool            `json:",omitempty"`
	ReclaimBound  span
	RunTime       span
	Notice        span
}

// MarshalJSON renders the profile with Pascal-case keys and durations as text.
func (p Profile) MarshalJSON() ([]byte, error) {
	j := profileJSON{
		Name:          p.Name,
		Version:       p.Version,
		Urgency:       p.Urgency,
		WaitBound:     span(p.WaitBound),
		Organisations: p.Organisations,
		Once:          p.Once,
		Stoppable:     p.Stoppable,
		ReclaimBound:  span(p.ReclaimBound),
		RunTime:       span(p.RunTime),
		Notice:        span(p.Notice),
	}
	for _, g := range p.Guarantees {
		j.Guarantees = append(j.Guarantees, guaranteeJSON{
			Organisation: g.Organisation,
			Domain:       g.Domain,
			Gangs:        g.Gangs,
			Tasks:        g.Shape.Tasks,
			Accelerators: g.Shape.Accelerators,
			Processors:   g.Shape.Processors,
			MemoryBytes:  g.Shape.Memory,
			Adjacent:     g.Shape.Adjacent,
		})
	}
	return json.Marshal(j)
}

// UnmarshalJSON parses what MarshalJSON renders.
func (p *Profile) UnmarshalJSON(b []byte) error {
	var j profileJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	*p = Profile{
		Name:          j.Name,
		Version:       j.Version,
		Urgency:       j.Urgency,
		WaitBound:     time.Duration(j.WaitBound),
		Organisations: j.Organisations,
		Once:          j.Once,
		Stoppable:     j.Stoppable,
		ReclaimBound:  time.Duration(j.ReclaimBound),
		RunTime:       time.Duration(j.RunTime),
		Notice:        time.Duration(j.Notice),
	}
	for _, g := range j.Guarantees {
		p.Guarantees = append(p.Guarantees, Guarantee{
			Organisation: g.Organisation,
			Domain:       g.Domain,
			Gangs:        g.Gangs,
			Shape: fleet.Shape{
				Tasks:        g.Tasks,
				Accelerators: g.Accelerators,
				Processors:   g.Processors,
				Memory:       g.MemoryBytes,
				Adjacent:     g.Adjacent,
			},
		})
	}
	return nil
}

// resourceOf returns an empty value of the type that holds resources of a kind.
func resourceOf(k Kind) (any, error) {
	switch k {
	case KindProfile:
		return &profileJSON{}, nil
	case KindOrganisation:
		return &Organisation{}, nil
	case KindStop:
		return &Stop{}, nil
	default:
		return nil, fmt.Errorf("kind %q is not Profile, Organisation or Stop", k)
	}
}

// CheckKeys returns an error when the JSON of a resource is malformed or has a key that the kind does not know.
//
// The fold itself passes over unknown keys, so that hosts of two releases agree on what won.
func CheckKeys(k Kind, b []byte) error {
	v, err := resourceOf(k)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("read %s: %w", k, err)
	}
	return nil
}
