package setup

import "net/netip"

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Status   netip.AddrPort
}

func loadListen(s *section) Listen {
	keyByAddr := map[netip.AddrPort]string{}
	readUnique := func(key string) netip.AddrPort {
		a := s.addr(key)
		if other, ok := keyByAddr[a]; ok && a.IsValid() {
			s.addFault(key, "%s is also the address of %s", a, other)
		}
		keyByAddr[a] = key
		return a
	}
	return Listen{
		Peer:     readUnique("Peer"),
		Caller:   readUnique("Caller"),
		Operator: readUnique("Operator"),
		Status:   readUnique("Status"),
	}
}
