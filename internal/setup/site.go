package setup

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"gopkg.in/ini.v1"
)

// Site holds the settings of a host whose jobs are kept in the platform's store.
type Site struct {
	Host   SiteHost
	Listen SiteListen
	Store  Store
	Bounds Bounds
	Limits SiteLimits
	Plan   SitePlan
	Log    Log
}

// SitePlan selects the mechanisms of the planner.
type SitePlan struct {
	// Enable lists the optional mechanisms that are switched on.
	Enable []plan.Mechanism
	// Disable lists the mechanisms that are switched off, for measurements of what they are worth. It wins over Enable.
	Disable []plan.Mechanism
}

// SiteHost identifies the daemon.
type SiteHost struct {
	Name   string
	Domain string
}

// SiteListen holds the addresses that the daemon listens on.
type SiteListen struct {
	Caller netip.AddrPort
	Ready  netip.AddrPort
	Status netip.AddrPort
	Peer   netip.AddrPort
}

// Store holds the address of the platform's store.
type Store struct {
	Addr netip.AddrPort
}

// Bounds holds the time limits that the platform guarantees or requires.
type Bounds struct {
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// Claim is how long a job within a guarantee may wait for its start.
	Claim time.Duration
	// GangTimeout is how long the first started task of a gang waits for the others.
	GangTimeout time.Duration
	// Revoke is how long a revoked key may still be accepted.
	Revoke time.Duration
	// KeepEnded is how long the state of a job can be read after its end.
	KeepEnded time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
}

// SiteLimits bounds the resources of the process and the jobs that it accepts.
type SiteLimits struct {
	Memory fleet.Bytes
	// Processors is the fraction of a processor that the host has. A host with a small fraction leaves the ownership to others.
	Processors float64
	// MaxOpenJobs bounds the number of jobs that have not ended.
	MaxOpenJobs int
	// JobMemory bounds the memory that open jobs take on the owner; zero means a part of Memory.
	JobMemory fleet.Bytes
	// Body bounds the body of one request, and Header its header.
	Body   fleet.Bytes
	Header fleet.Bytes
	// CallerMemory bounds the memory that the requests of all callers take; zero means a part of Memory.
	CallerMemory fleet.Bytes
	// Connections bounds the open connections of callers; zero means as many as Memory and the open files allow.
	Connections int
	// OpenFiles is the number of files and connections that the process may have open; zero means the limit of the system.
	OpenFiles int
}

const (
	maxDuration        = time.Hour
	maxMemory          = 1 << 40
	maxOpenJobs        = 1_000_000
	defaultOpenJobs    = 20_000
	maxBody            = 64 * fleet.Megabyte
	defaultHeader      = 16 * kilobyte
	maxConnections     = 100_000
	minOpenFiles       = 256
	maxOpenFiles       = 1 << 30
	defaultMemory      = 256 * fleet.Megabyte
	defaultRevoke      = 5 * time.Second
	defaultGrace       = 6 * time.Second
	defaultKeepEnded   = 2 * time.Minute
	defaultMaxHold     = 6 * time.Second
	defaultTimeout     = 3 * time.Second
	defaultStopTimeout = 400 * time.Millisecond
)

// LoadSite reads and checks the file at path. The error is *ErrFaults if the content of the file has faults.
func LoadSite(path string) (*Site, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, path)
	if err != nil {
		return nil, fmt.Errorf("read settings %s: %w", path, err)
	}
	r := &reader{file: f, knownKeys: map[string][]string{}}
	var s Site
	r.readSection("Host", func(x *section) { s.Host = SiteHost{Name: x.required("Name"), Domain: x.required("Domain")} })
	r.readSection("Listen", func(x *section) {
		s.Listen = SiteListen{Caller: x.addr("Caller"), Ready: x.addr("Ready"), Status: x.addr("Status"), Peer: x.addr("Peer")}
	})
	r.readSection("Store", func(x *section) { s.Store = Store{Addr: x.addr("Addr")} })
	r.readSection("Bounds", func(x *section) { s.Bounds = loadBounds(x) })
	r.readSection("Limits", func(x *section) {
		s.Limits.Memory = x.bytes("Memory", defaultMemory, fleet.Megabyte, maxMemory)
		s.Limits.Processors = x.fraction("Processors", 1)
		s.Limits.MaxOpenJobs = x.count("MaxOpenJobs", defaultOpenJobs, 1, maxOpenJobs)
		s.Limits.JobMemory = x.bytes("JobMemory", 0, fleet.Megabyte, maxMemory)
		s.Limits.Body = x.bytes("Body", fleet.Megabyte, kilobyte, maxBody)
		s.Limits.Header = x.bytes("Header", defaultHeader, kilobyte, fleet.Megabyte)
		s.Limits.CallerMemory = x.bytes("CallerMemory", 0, fleet.Megabyte, maxMemory)
		s.Limits.Connections = x.count("Connections", 0, 1, maxConnections)
		s.Limits.OpenFiles = x.count("OpenFiles", 0, minOpenFiles, maxOpenFiles)
	})
	r.readSection("Plan", func(x *section) { s.Plan = loadSitePlan(x) })
	r.readSection("Log", func(x *section) { s.Log = loadLog(x) })
	r.checkUnknownSections()
	if len(r.faults) > 0 {
		return nil, &ErrFaults{Path: path, Faults: r.faults}
	}
	return &s, nil
}

func loadSitePlan(s *section) SitePlan {
	return SitePlan{
		Enable:  loadMechanisms(s, "Enable", plan.OptionalMechanisms),
		Disable: loadMechanisms(s, "Disable", slices.Concat(plan.Mechanisms, plan.OptionalMechanisms)),
	}
}

// loadMechanisms reads a list of mechanisms, separated by commas.
func loadMechanisms(s *section, key string, known []plan.Mechanism) []plan.Mechanism {
	var out []plan.Mechanism
	for name := range strings.SplitSeq(s.optional(key, ""), ",") {
		m := plan.Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.Contains(known, m) {
			s.addFault(key, "names %q, which is no such mechanism; there are %v", m, known)
			continue
		}
		out = append(out, m)
	}
	return out
}

func loadBounds(s *section) Bounds {
	return Bounds{
		MaxHold:     s.duration("MaxHold", defaultMaxHold, time.Second, maxDuration),
		StopTimeout: s.duration("StopTimeout", defaultStopTimeout, time.Millisecond, maxDuration),
		Claim:       s.duration("Claim", defaultTimeout, time.Millisecond, maxDuration),
		GangTimeout: s.duration("GangTimeout", defaultTimeout, time.Millisecond, maxDuration),
		Revoke:      s.duration("Revoke", defaultRevoke, time.Second, maxDuration),
		KeepEnded:   s.duration("KeepEnded", defaultKeepEnded, time.Second, maxDuration),
		Grace:       s.duration("Grace", defaultGrace, time.Second, maxDuration),
	}
}
