package setup

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"gopkg.in/ini.v1"
)

// Site holds the settings of a host whose jobs are kept in the platform's store.
type Site struct {
	Host   SiteHost
	Listen SiteListen
	Store  Store
	Bounds Bounds
	Limits SiteLimits
	Log    Log
}

// SiteHost says who the daemon is.
type SiteHost struct {
	Name   string
	Domain string
}

// SiteListen holds the addresses that the daemon serves.
type SiteListen struct {
	Caller netip.AddrPort
	Ready  netip.AddrPort
	Status netip.AddrPort
	Peer   netip.AddrPort
}

// Store says where the platform's store is.
type Store struct {
	Addr netip.AddrPort
}

// Bounds are the figures that the platform promises or demands.
type Bounds struct {
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// StopTimeout is how long a worker takes at most to stop a task.
	StopTimeout time.Duration
	// Claim is how long work within a guarantee may wait for its start.
	Claim time.Duration
	// GangTimeout is how long the first task of a gang waits for the others.
	GangTimeout time.Duration
	// Revoke is how long a withdrawn key may still be taken.
	Revoke time.Duration
	// KeepEnded is how long the state of a job is told after its end.
	KeepEnded time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
}

// SiteLimits bound what the process uses and takes.
type SiteLimits struct {
	Memory fleet.Bytes
	// Processors is the share of a processor that the host has; one with little leaves the ownership to others.
	Processors float64
	// MaxOpenJobs bounds the jobs that have no end yet.
	MaxOpenJobs int
}

const (
	maxBound       = time.Hour
	maxMemory      = 1 << 40
	maxOpenJobs    = 1_000_000
	openJobs       = 20_000
	defaultMemory  = 256 * fleet.Megabyte
	defaultRevoke  = 5 * time.Second
	defaultGrace   = 6 * time.Second
	defaultKeep    = 2 * time.Minute
	defaultHold    = 6 * time.Second
	defaultTimeout = 3 * time.Second
	defaultStop    = 400 * time.Millisecond
)

// LoadSite reads and checks the file at path; the error is *ErrFaults when its content is at fault.
func LoadSite(path string) (*Site, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, path)
	if err != nil {
		return nil, fmt.Errorf("read settings %s: %w", path, err)
	}
	r := &reader{file: f, known: map[string][]string{}}
	var s Site
	r.read("Host", func(x *section) { s.Host = SiteHost{Name: x.must("Name"), Domain: x.must("Domain")} })
	r.read("Listen", func(x *section) {
		s.Listen = SiteListen{Caller: x.addr("Caller"), Ready: x.addr("Ready"), Status: x.addr("Status"), Peer: x.addr("Peer")}
	})
	r.read("Store", func(x *section) { s.Store = Store{Addr: x.addr("Addr")} })
	r.read("Bounds", func(x *section) { s.Bounds = loadBounds(x) })
	r.read("Limits", func(x *section) {
		s.Limits.Memory = x.bytes("Memory", defaultMemory, fleet.Megabyte, maxMemory)
		s.Limits.Processors = x.fraction("Processors", 1)
		s.Limits.MaxOpenJobs = x.count("MaxOpenJobs", openJobs, 1, maxOpenJobs)
	})
	r.read("Log", func(x *section) { s.Log = loadLog(x) })
	r.unknown()
	if len(r.faults) > 0 {
		return nil, &ErrFaults{Path: path, Faults: r.faults}
	}
	return &s, nil
}

func loadBounds(s *section) Bounds {
	return Bounds{
		MaxHold:     s.duration("MaxHold", defaultHold, time.Second, maxBound),
		StopTimeout: s.duration("StopTimeout", defaultStop, time.Millisecond, maxBound),
		Claim:       s.duration("Claim", defaultTimeout, time.Millisecond, maxBound),
		GangTimeout: s.duration("GangTimeout", defaultTimeout, time.Millisecond, maxBound),
		Revoke:      s.duration("Revoke", defaultRevoke, time.Second, maxBound),
		KeepEnded:   s.duration("KeepEnded", defaultKeep, time.Second, maxBound),
		Grace:       s.duration("Grace", defaultGrace, time.Second, maxBound),
	}
}
