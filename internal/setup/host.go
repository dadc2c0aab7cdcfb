package setup

import "slices"

// Host says who the daemon is.
type Host struct {
	Name   string
	Domain string
	// Domains are all configured failure domains.
	Domains []string
}

func loadHost(s *section) Host {
	h := Host{Name: s.must("Name"), Domain: s.must("Domain"), Domains: s.list("Domains")}
	if len(h.Domains) == 0 {
		s.fault("Domains", "is missing")
	} else if h.Domain != "" && !slices.Contains(h.Domains, h.Domain) {
		s.fault("Domain", "%q is not among Domains", h.Domain)
	}
	if n := len(slices.Compact(slices.Sorted(slices.Values(h.Domains)))); n < len(h.Domains) {
		s.fault("Domains", "names a failure domain twice")
	}
	return h
}
