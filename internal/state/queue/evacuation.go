package queue

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Evacuation is an operator's request that nothing more starts on the workers of a failure domain.
type Evacuation struct {
	Domain string
	// Since is when this host first read the request; zero if it is withdrawn.
	Since time.Time
	// Offset is that of the newest record that was applied.
	Offset int64
}

func (e Evacuation) isInForce() bool { return !e.Since.IsZero() }

// Evacuations are the requests in force at one time.
type Evacuations struct {
	byDomain map[string]Evacuation
}

// Has reports whether a failure domain is evacuated.
func (e *Evacuations) Has(domain string) bool {
	if e == nil {
		return false
	}
	_, ok := e.byDomain[domain]
	return ok
}

// Find returns the requests in force, ordered by failure domain.
func (e *Evacuations) Find() []Evacuation {
	if e == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(e.byDomain), func(x, y Evacuation) int { return strings.Compare(x.Domain, y.Domain) })
}

// EvacuationChange is a record of the operator: a request, or its withdrawal.
type EvacuationChange struct {
	Domain      string
	IsWithdrawn bool
	// IsMalformed is set if the record cannot be read; it changes nothing.
	IsMalformed bool
	Offset      int64
}

// EvacuationLog computes the requests in force from the records of the operator. A record that is older than one that was applied
// has no effect, so that no request comes back.
type EvacuationLog struct {
	newest map[string]Evacuation
}

// Apply applies one record and reports whether the requests in force have changed.
func (l *EvacuationLog) Apply(c EvacuationChange, now time.Time) bool {
	old, isKnown := l.newest[c.Domain]
	if c.IsMalformed || isKnown && c.Offset <= old.Offset {
		return false
	}
	x := Evacuation{Domain: c.Domain, Offset: c.Offset}
	if !c.IsWithdrawn {
		x.Since = now
		if old.isInForce() {
			x.Since = old.Since
		}
	}
	if l.newest == nil {
		l.newest = map[string]Evacuation{}
	}
	l.newest[c.Domain] = x
	return x.isInForce() != old.isInForce()
}

// Reload applies the newest records, as read up to the offset before. A request without a record has been withdrawn, unless it is from
// that offset on.
func (l *EvacuationLog) Reload(cs []EvacuationChange, before int64, now time.Time) bool {
	isListed := map[string]bool{}
	hasChanged := false
	for _, c := range cs {
		isListed[c.Domain] = true
		hasChanged = l.Apply(c, now) || hasChanged
	}
	for d, x := range l.newest {
		if isListed[d] || x.Offset >= before {
			continue
		}
		delete(l.newest, d)
		hasChanged = hasChanged || x.isInForce()
	}
	return hasChanged
}

// InForce returns the requests in force.
func (l *EvacuationLog) InForce() *Evacuations {
	out := &Evacuations{byDomain: map[string]Evacuation{}}
	for d, x := range l.newest {
		if x.isInForce() {
			out.byDomain[d] = x
		}
	}
	return out
}
