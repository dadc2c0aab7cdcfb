package setup

import "net/netip"

// Platform holds the addresses of the platform's log and host list.
type Platform struct {
	Log   netip.AddrPort
	Hosts netip.AddrPort
}

func loadPlatform(s *section) Platform {
	return Platform{Log: s.addr("Log"), Hosts: s.addr("Hosts")}
}
