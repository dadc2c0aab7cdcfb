package setup

import "net/netip"

// Listen holds the addresses that the daemon serves.
type Listen struct {
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Status   netip.AddrPort
}

func loadListen(s *section) Listen {
	seen := map[netip.AddrPort]string{}
	read := func(key string) netip.AddrPort {
		a := s.addr(key)
		if other, ok := seen[a]; ok && a.IsValid() {
			s.fault(key, "%s is also the address of %s", a, other)
		}
		seen[a] = key
		return a
	}
	return Listen{
		Peer:     read("Peer"),
		Caller:   read("Caller"),
		Operator: read("Operator"),
		Status:   read("Status"),
	}
}
