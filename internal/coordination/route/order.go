package route

import (
	"cmp"
	"slices"
	"time"
)

// diversionGain is how much shorter the wait elsewhere has to be, beyond the cost of the link.
const diversionGain = 500 * time.Millisecond

// linkWeight counts the link's delay several times, for the round trips of a job and its answer.
const linkWeight = 8

// order returns the failure domains to try: the local one first, unless another one gains enough.
func (r *Router) order(urgency string) []string {
	vs := r.views()
	local := View{Domain: r.domain}
	var others []View
	for _, v := range vs {
		if v.Domain == r.domain {
			local = v
			continue
		}
		others = append(others, v)
	}
	slices.SortFunc(others, func(a, b View) int {
		if c := cmp.Compare(a.costFor(urgency), b.costFor(urgency)); c != 0 {
			return c
		}
		return cmp.Compare(a.Domain, b.Domain)
	})
	out := []string{r.domain}
	for i, v := range others {
		if i == 0 && v.costFor(urgency)+diversionGain < local.costFor(urgency) {
			out = []string{v.Domain, r.domain}
			continue
		}
		out = append(out, v.Domain)
	}
	return r.complete(out)
}

// complete adds the configured failure domains whose load is not known, last.
func (r *Router) complete(ds []string) []string {
	for _, d := range r.domains {
		if !slices.Contains(ds, d) {
			ds = append(ds, d)
		}
	}
	return ds
}

func (v View) costFor(urgency string) time.Duration {
	return v.Wait[urgency] + linkWeight*v.LinkCost
}
