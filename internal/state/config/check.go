package config

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"time"
)

// Limits of a configuration.
const (
	// MaxItems bounds the items of one change.
	MaxItems = 256
	// MaxGuarantees bounds the guarantees of one profile.
	MaxGuarantees = 1024
	// MaxCount bounds the gangs of one guarantee, the tasks of a gang and the accelerators and processors of a task.
	MaxCount = 10_000
	// MaxPlannedChanges bounds the planned changes.
	MaxPlannedChanges = 1024
	// MaxTextBytes bounds ids, reasons, causes and operators' names, in bytes.
	MaxTextBytes = 1024
	// MaxDuration bounds every duration of a profile.
	MaxDuration = 90 * 24 * time.Hour
	// MaxWeight bounds the weight of an organisation.
	MaxWeight = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// problems collects validation errors, so that an operator gets all of them at once.
type problems []string

func (p *problems) add(format string, args ...any) {
	*p = append(*p, fmt.Sprintf(format, args...))
}

func (p *problems) checkName(what, v string) {
	if !namePattern.MatchString(v) {
		p.add("%s: name %q is not 1 to 63 letters, digits, dots, dashes or underscores that start with a letter or digit", what, v)
	}
}

func (p *problems) checkDuration(what string, v, low time.Duration) {
	if v < low || v > MaxDuration {
		p.add("%s: %s is not between %s and %s", what, v, low, MaxDuration)
	}
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return ErrInvalid{Problems: p}
}

// Check validates the profile on its own and returns ErrInvalid with all problems.
func (p Profile) Check() error {
	var x problems
	what := "profile " + p.Name
	x.checkName(what, p.Name)
	if p.Urgency != Urgent && p.Urgency != Normal && p.Urgency != Quiet {
		x.add("%s: Urgency %q is not Urgent, Normal or Quiet", what, p.Urgency)
	}
	x.checkDuration(what+" WaitBound", p.WaitBound, time.Millisecond)
	x.checkDuration(what+" RunTime", p.RunTime, 0)
	x.checkDuration(what+" Notice", p.Notice, 0)
	x.checkDuration(what+" ReclaimBound", p.ReclaimBound, 0)
	if p.Stoppable && p.ReclaimBound == 0 {
		x.add("%s: a Stoppable profile needs a ReclaimBound", what)
	}
	if p.Once && p.Stoppable {
		x.add("%s: Once work starts at most once and cannot be Stoppable", what)
	}
	if len(p.Guarantees) > MaxGuarantees {
		x.add("%s: %d guarantees are more than %d", what, len(p.Guarantees), MaxGuarantees)
	}
	for i, g := range p.Guarantees {
		p.checkGuarantee(&x, fmt.Sprintf("%s guarantee %d", what, i+1), g)
	}
	return x.err()
}

func (p Profile) checkGuarantee(x *problems, what string, g Guarantee) {
	x.checkName(what+" Domain", g.Domain)
	if g.Gangs < 1 || g.Gangs > MaxCount || g.Shape.Tasks > MaxCount {
		x.add("%s: Gangs %d or Tasks %d is not between 1 and %d", what, g.Gangs, g.Shape.Tasks, MaxCount)
	}
	if g.Shape.Accelerators > MaxCount || g.Shape.Processors > MaxCount {
		x.add("%s: Accelerators %d or Processors %d is above %d", what, g.Shape.Accelerators, g.Shape.Processors, MaxCount)
	}
	if err := g.Shape.Check(); err != nil {
		x.add("%s: %v", what, err)
	}
	if len(p.Organisations) > 0 && !slices.Contains(p.Organisations, g.Organisation) {
		x.add("%s: organisation %s may not use the profile", what, g.Organisation)
	}
}

// Check validates the organisation on its own and returns ErrInvalid with all problems.
func (o Organisation) Check() error {
	var x problems
	what := "organisation " + o.Name
	x.checkName(what, o.Name)
	if o.Weight < 1 || o.Weight > MaxWeight {
		x.add("%s: Weight %d is not between 1 and %d", what, o.Weight, MaxWeight)
	}
	if o.Accelerators < 0 {
		x.add("%s: Accelerators %d is below 0", what, o.Accelerators)
	}
	return x.err()
}

// Check validates the stop on its own and returns ErrInvalid with all problems.
func (s Stop) Check() error {
	var x problems
	what := "stop " + s.Name
	x.checkName(what, s.Name)
	x.checkName(what+" Domain", s.Domain)
	switch s.Kind {
	case StopWorker, StopRack, StopHost:
		x.checkName(what+" Target", s.Target)
	case StopDomain:
		if s.Target != "" {
			x.add("%s: Target must be empty for a stop of a failure domain", what)
		}
	default:
		x.add("%s: Kind %q is not Worker, Rack, Host or Domain", what, s.Kind)
	}
	if s.From.IsZero() || !s.From.Before(s.Until) {
		x.add("%s: From %s is not before Until %s", what, s.From.Format(time.RFC3339), s.Until.Format(time.RFC3339))
	}
	if s.Reason == "" || len(s.Reason) > MaxTextBytes {
		x.add("%s: Reason is empty or longer than %d bytes", what, MaxTextBytes)
	}
	return x.err()
}

// Check returns ErrInvalid with all references to unknown organisations and all quotas that the guarantees exceed.
func (c Config) Check() error {
	var x problems
	sums := map[string]int{}
	for _, n := range sortedNames(c.Profiles) {
		p := c.Profiles[n]
		for _, o := range p.Organisations {
			c.checkOrganisation(&x, n, o)
		}
		for _, g := range p.Guarantees {
			c.checkOrganisation(&x, n, g.Organisation)
			sums[g.Organisation] += g.Gangs * g.Shape.TotalAccelerators()
		}
	}
	for _, n := range sortedNames(sums) {
		q := c.Organisations[n].Accelerators
		if q > 0 && sums[n] > q {
			x.add("organisation %s: guarantees of %d accelerators exceed its quota of %d", n, sums[n], q)
		}
	}
	return x.err()
}

func (c Config) checkOrganisation(x *problems, profile, org string) {
	if _, ok := c.Organisations[org]; !ok {
		x.add("profile %s: organisation %q is not known", profile, org)
	}
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
