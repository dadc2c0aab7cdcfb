package setup

import "slices"

// Host identifies the daemon.
type Host struct {
	Name   string
	Domain string
	// Domains are all configured failure domains.
	Domains []string
}

func loadHost(s *section) Host {
	h := Host{Name: s.required("Name"), Domain: s.required("Domain"), Domains: s.list("Domains")}
	if len(h.Domains) == 0 {
		s.addFault("Domains", "is missing")
	} else if h.Domain != "" && !slices.Contains(h.Domains, h.Domain) {
		s.addFault("Domain", "%q is not among Domains", h.Domain)
	}
	if n := len(slices.Compact(slices.Sorted(slices.Values(h.Domains)))); n < len(h.Domains) {
		s.addFault("Domains", "contains a failure domain more than once")
	}
	return h
}
