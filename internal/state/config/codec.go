package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// textDuration is a duration that is encoded as text, such as "3.6s".
type textDuration time.Duration

// MarshalText formats the duration with time.Duration.String.
func (s textDuration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText parses the duration with time.ParseDuration.
func (s *textDuration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*s = textDuration(d)
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
	WaitBound     textDuration
	Organisations []string        `json:",omitempty"`
	Guarantees    []guaranteeJSON `json:",omitempty"`
	Once          bool            `json:",omitempty"`
	Stoppable     bool            `json:",omitempty"`
	ReclaimBound  textDuration
	RunTime       textDuration
	Notice        textDuration
}

// MarshalJSON encodes the profile with Pascal-case keys and durations as text.
func (p Profile) MarshalJSON() ([]byte, error) {
	j := profileJSON{
		Name:          p.Name,
		Version:       p.Version,
		Urgency:       p.Urgency,
		WaitBound:     textDuration(p.WaitBound),
		Organisations: p.Organisations,
		Once:          p.Once,
		Stoppable:     p.Stoppable,
		ReclaimBound:  textDuration(p.ReclaimBound),
		RunTime:       textDuration(p.RunTime),
		Notice:        textDuration(p.Notice),
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

// UnmarshalJSON decodes the output of MarshalJSON.
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

// newResource returns a pointer to an empty value of the type that resources of the kind decode into.
func newResource(k Kind) (any, error) {
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

// CheckKeys returns an error when the JSON of a resource is malformed or has a key that is unknown for its kind.
//
// The fold ignores unknown keys, so that hosts of two releases come to the same verdict.
func CheckKeys(k Kind, b []byte) error {
	v, err := newResource(k)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode %s: %w", k, err)
	}
	return nil
}
