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
	b := place.New()
	for _, w := range workers {
		b.Put(w)
		b.Get(w.Name).Closed = w.Leaving
	}
	k := New(b)
	k.SetNeeds(ns)
	if k.Repair() {
		return nil
	}
	return k.FindUnkept()
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
