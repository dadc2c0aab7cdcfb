package setup

import (
	"net/netip"
	"strings"
)

// Seed is a host that a starting host contacts to find all others.
type Seed struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Peers holds the seeds.
type Peers struct {
	Seeds []Seed
}

const seedFields = 3

func loadPeers(s *section) Peers {
	var p Peers
	for _, v := range s.list("Seeds") {
		parts := strings.Split(v, "@")
		if len(parts) != seedFields || parts[0] == "" || parts[1] == "" {
			s.addFault("Seeds", "%q is not name@domain@ip:port", v)
			continue
		}
		a, err := parseAddr(parts[2])
		if err != nil {
			s.addFault("Seeds", "%v", err)
			continue
		}
		p.Seeds = append(p.Seeds, Seed{Name: parts[0], Domain: parts[1], Addr: a})
	}
	return p
}
