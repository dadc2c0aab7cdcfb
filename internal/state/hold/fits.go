package hold

import (
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Unfit is a guarantee that the workers of a failure domain cannot hold.
type Unfit struct {
	Domain string
	Unkept
}

// String returns the failure domain, the guarantee and the reason.
func (u Unfit) String() string {
	return fmt.Sprintf("failure domain %s: %s", u.Domain, u.Unkept)
}

// Fits returns the needs that the workers cannot hold all at once; an empty result means that all fit.
func Fits(workers []fleet.Worker, ns []Need) []Unkept {
	l := place.New()
	for _, w := range workers {
		l.Put(w)
		l.Get(w.Name).Closed = w.Leaving
	}
	r := New(l)
	r.SetNeeds(ns)
	if r.Repair() {
		return nil
	}
	return r.FindUnkept()
}

// FitsAll calls Fits for every failure domain, in the order of their names.
func FitsAll(workers map[string][]fleet.Worker, needs func(domain string) []Need) []Unfit {
	var ds []string
	for d := range workers {
		ds = append(ds, d)
	}
	slices.Sort(ds)
	var out []Unfit
	for _, d := range ds {
		for _, u := range Fits(workers[d], needs(d)) {
			out = append(out, Unfit{Domain: d, Unkept: u})
		}
	}
	return out
}
