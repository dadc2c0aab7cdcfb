package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds an INI file, in bytes.
const MaxFileBytes = 1 << 20

const guaranteePrefix = "Guarantee."

// ErrUnknownUnit is returned for an amount of memory that is malformed or has no known unit.
var ErrUnknownUnit = errors.New("memory is not a number with KB, MB, GB or TB")

// section reads the keys of one INI section and records which keys are known.
type section struct {
	s     *ini.Section
	known []string
	x     *problems
}

func (s *section) value(key string) string {
	s.known = append(s.known, key)
	return strings.TrimSpace(s.s.Key(key).String())
}

func (s *section) required(key string) string {
	v := s.value(key)
	if v == "" {
		s.addProblem(key, "is missing")
	}
	return v
}

func (s *section) addProblem(key, format string, args ...any) {
	s.x.add("[%s] %s: %s", s.s.Name(), key, fmt.Sprintf(format, args...))
}

func (s *section) duration(key string) time.Duration {
	v := s.value(key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.addProblem(key, "%q is not a duration such as 3.6s or 2h", v)
	}
	return d
}

func (s *section) number(key string, fallback int) int {
	v := s.value(key)
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.addProblem(key, "%q is not a whole number", v)
	}
	return n
}

func (s *section) boolean(key string) bool {
	v := s.value(key)
	if v == "" {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		s.addProblem(key, "%q is not true or false", v)
	}
	return b
}

func (s *section) list(key string) []string {
	var out []string
	for v := range strings.SplitSeq(s.value(key), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

func (s *section) memory() fleet.Bytes {
	m, b := s.value("Memory"), s.value("MemoryBytes")
	switch {
	case m != "" && b != "":
		s.addProblem("Memory", "conflicts with MemoryBytes; set only one of them")
	case b != "":
		n, err := strconv.ParseInt(b, 10, 64)
		if err != nil {
			s.addProblem("MemoryBytes", "%q is not a whole number", b)
		}
		return fleet.Bytes(n)
	case m != "":
		n, err := ParseMemory(m)
		if err != nil {
			s.addProblem("Memory", "%v", err)
		}
		return n
	}
	return 0
}

// checkUnknownKeys adds a problem for each key of the section that is not known; call it after all keys were read.
func (s *section) checkUnknownKeys() {
	for _, k := range s.s.KeyStrings() {
		if !slices.Contains(s.known, k) {
			s.addProblem(k, "key is not known; the keys are %s", strings.Join(s.known, ", "))
		}
	}
}

// ParseMemory parses an amount such as "512GB"; units are powers of 1024.
func ParseMemory(v string) (fleet.Bytes, error) {
	units := []struct {
		suffix string
		size   fleet.Bytes
	}{
		{"KB", fleet.Megabyte >> 10},
		{"MB", fleet.Megabyte},
		{"GB", fleet.Gigabyte},
		{"TB", fleet.Gigabyte << 10},
	}
	for _, u := range units {
		digits, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/int64(u.size) {
			break
		}
		return fleet.Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("%q: %w", v, ErrUnknownUnit)
}

func loadINI(b []byte) (*ini.File, error) {
	if len(b) > MaxFileBytes {
		return nil, ErrInvalid{Problems: []string{fmt.Sprintf("file of %d bytes is larger than %d", len(b), MaxFileBytes)}}
	}
	o := ini.LoadOptions{AllowDuplicateShadowValues: false, SpaceBeforeInlineComment: true}
	f, err := ini.LoadSources(o, b)
	if err != nil {
		return nil, ErrInvalid{Problems: []string{err.Error()}}
	}
	return f, nil
}

// ParseProfile parses a profile from an INI file, or returns ErrInvalid with all problems.
func ParseProfile(b []byte) (Profile, error) {
	f, err := loadINI(b)
	if err != nil {
		return Profile{}, err
	}
	var x problems
	var p Profile
	for _, s := range f.Sections() {
		r := &section{s: s, x: &x}
		switch {
		case s.Name() == "Profile":
			readProfile(r, &p)
		case strings.HasPrefix(s.Name(), guaranteePrefix):
			p.Guarantees = append(p.Guarantees, readGuarantee(r))
		case s.Name() == ini.DefaultSection && len(s.Keys()) == 0:
		default:
			x.add("[%s]: section is not known; the sections are Profile and %sNAME", s.Name(), guaranteePrefix)
			continue
		}
		r.checkUnknownKeys()
	}
	if !f.HasSection("Profile") {
		x.add("[Profile]: section is missing")
	}
	if len(x) == 0 {
		x.addError(p.Check())
	}
	return p, x.err()
}

func readProfile(s *section, p *Profile) {
	p.Name = s.required("Name")
	p.Urgency = Urgency(s.required("Urgency"))
	p.WaitBound = s.duration("WaitBound")
	p.Organisations = s.list("Organisations")
	p.Once = s.boolean("Once")
	p.Stoppable = s.boolean("Stoppable")
	p.ReclaimBound = s.duration("ReclaimBound")
	p.RunTime = s.duration("RunTime")
	p.Notice = s.duration("Notice")
}

func readGuarantee(s *section) Guarantee {
	g := Guarantee{
		Organisation: s.required("Organisation"),
		Domain:       s.required("Domain"),
		Gangs:        s.number("Gangs", 1),
		Shape: fleet.Shape{
			Tasks:        s.number("Tasks", 1),
			Accelerators: s.number("Accelerators", 0),
			Processors:   s.number("Processors", 0),
			Memory:       s.memory(),
			Adjacent:     fleet.Level(s.value("Adjacent")),
		},
	}
	if g.Shape.Adjacent == "" {
		g.Shape.Adjacent = fleet.LevelDomain
	}
	return g
}

// ParseOrganisation parses an organisation from an INI file, or returns ErrInvalid with all problems.
func ParseOrganisation(b []byte) (Organisation, error) {
	f, err := loadINI(b)
	if err != nil {
		return Organisation{}, err
	}
	var x problems
	var o Organisation
	for _, s := range f.Sections() {
		r := &section{s: s, x: &x}
		switch {
		case s.Name() == "Organisation":
			o.Name = r.required("Name")
			o.Weight = r.number("Weight", 1)
			o.Accelerators = r.number("Accelerators", 0)
		case s.Name() == ini.DefaultSection && len(s.Keys()) == 0:
		default:
			x.add("[%s]: section is not known; the section is Organisation", s.Name())
			continue
		}
		r.checkUnknownKeys()
	}
	if !f.HasSection("Organisation") {
		x.add("[Organisation]: section is missing")
	}
	if len(x) == 0 {
		x.addError(o.Check())
	}
	return o, x.err()
}
