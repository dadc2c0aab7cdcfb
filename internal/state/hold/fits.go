package hold

import (
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Unfit is a guarantee that does not fit into a failure domain.
type Unfit struct {
	Domain string
	Unkept
}

// String renders the guarantee with its failure domain.
func (u Unfit) String() string {
	return fmt.Sprintf("failure domain %s: %s", u.Domain, u.Unkept)
}

// Fits returns the needs that do not fit into the workers together; none means that all fit.
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

// FitsAll asks Fits of every failure domain.
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
