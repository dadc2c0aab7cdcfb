package route

import (
	"cmp"
	"slices"
	"time"
)

// minDiversionGain is how much lower the cost of a remote failure domain has to be for a job to be diverted there.
const minDiversionGain = 500 * time.Millisecond

// linkCostFactor is how many one-way delays of the link a job in a remote failure domain costs, for the round trips of the
// job and its answer.
const linkCostFactor = 8

// domainOrder returns the failure domains in the order in which they are tried: the local one first, unless the cost of the
// cheapest remote one is lower by more than minDiversionGain; then the remote ones by cost.
func (r *Router) domainOrder(urgency string) []string {
	vs := r.loads()
	local := DomainLoad{Domain: r.domain}
	var others []DomainLoad
	for _, v := range vs {
		if v.Domain == r.domain {
			local = v
			continue
		}
		others = append(others, v)
	}
	slices.SortFunc(others, func(a, b DomainLoad) int {
		if c := cmp.Compare(a.cost(urgency), b.cost(urgency)); c != 0 {
			return c
		}
		return cmp.Compare(a.Domain, b.Domain)
	})
	out := []string{r.domain}
	for i, v := range others {
		if i == 0 && v.cost(urgency)+minDiversionGain < local.cost(urgency) {
			out = []string{v.Domain, r.domain}
			continue
		}
		out = append(out, v.Domain)
	}
	return r.appendOtherDomains(out)
}

// appendOtherDomains appends the configured failure domains whose load is not known.
func (r *Router) appendOtherDomains(ds []string) []string {
	for _, d := range r.domains {
		if !slices.Contains(ds, d) {
			ds = append(ds, d)
		}
	}
	return ds
}

func (v DomainLoad) cost(urgency string) time.Duration {
	return v.Wait[urgency] + linkCostFactor*v.LinkCost
}
