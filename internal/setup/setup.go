package setup

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Settings are those of one daemon, by section.
type Settings struct {
	Host       Host
	Listen     Listen
	Peers      Peers
	Platform   Platform
	Membership Membership
	Owner      Owner
	Worker     Worker
	Queue      Queue
	Once       Once
	Stream     Stream
	Limits     Limits
	Plan       Plan
	Operators  Operators
	Log        Log
	Timeline   Timeline
	Shutdown   Shutdown
}

// Load reads and checks the file at path; the error is *ErrFaults when its content is at fault.
func Load(path string) (*Settings, error) {
	s, _, err := load(path, path)
	return s, err
}

// Parse reads and checks the content of a file.
func Parse(content []byte) (*Settings, error) {
	s, _, err := load("settings", content)
	return s, err
}

// load also returns the keys that it knows, by section.
func load(name string, source any) (*Settings, map[string][]string, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, source)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings %s: %w", name, err)
	}
	r := &reader{file: f, known: map[string][]string{}}
	var s Settings
	r.read("Host", func(x *section) { s.Host = loadHost(x) })
	r.read("Listen", func(x *section) { s.Listen = loadListen(x) })
	r.read("Peers", func(x *section) { s.Peers = loadPeers(x) })
	r.read("Platform", func(x *section) { s.Platform = loadPlatform(x) })
	r.read("Membership", func(x *section) { s.Membership = loadMembership(x) })
	r.read("Owner", func(x *section) { s.Owner = loadOwner(x) })
	r.read("Worker", func(x *section) { s.Worker = loadWorker(x) })
	r.read("Queue", func(x *section) { s.Queue = loadQueue(x) })
	r.read("Once", func(x *section) { s.Once = loadOnce(x) })
	r.read("Stream", func(x *section) { s.Stream = loadStream(x) })
	r.read("Limits", func(x *section) { s.Limits = loadLimits(x) })
	r.read("Plan", func(x *section) { s.Plan = loadPlan(x) })
	r.read("Operators", func(x *section) { s.Operators = loadOperators(x) })
	r.read("Log", func(x *section) { s.Log = loadLog(x) })
	r.read("Timeline", func(x *section) { s.Timeline = loadTimeline(x) })
	r.read("Shutdown", func(x *section) { s.Shutdown = loadShutdown(x) })
	r.check(s)
	r.unknown()
	if len(r.faults) > 0 {
		return nil, r.known, &ErrFaults{Path: name, Faults: r.faults}
	}
	return &s, r.known, nil
}

type reader struct {
	file   *ini.File
	known  map[string][]string
	faults []Fault
}

func (r *reader) read(name string, f func(*section)) {
	s := &section{name: name, raw: r.file.Section(name)}
	f(s)
	s.unknown()
	s.repeated()
	r.known[name] = s.known
	r.faults = append(r.faults, s.faults...)
}

// check compares settings of different sections.
func (r *reader) check(s Settings) {
	if s.Owner.Lease <= s.Membership.Heartbeat {
		r.fault("Owner", "Lease", "%s is not above the heartbeat of %s", s.Owner.Lease, s.Membership.Heartbeat)
	}
	if s.Owner.Lease >= s.Membership.Suspect {
		r.fault("Owner", "Lease", "%s is not below [Membership] Suspect, %s; a new owner would act beside the old one",
			s.Owner.Lease, s.Membership.Suspect)
	}
	if s.Worker.Lease <= s.Owner.Lease {
		r.fault("Worker", "Lease", "%s is not above the owner's lease of %s", s.Worker.Lease, s.Owner.Lease)
	}
	for _, x := range s.Peers.Seeds {
		if len(s.Host.Domains) > 0 && !slices.Contains(s.Host.Domains, x.Domain) {
			r.fault("Peers", "Seeds", "failure domain %q of %s is not among the Domains of [Host]", x.Domain, x.Name)
		}
	}
}

func (r *reader) unknown() {
	for _, x := range r.file.Sections() {
		if _, ok := r.known[x.Name()]; ok {
			continue
		}
		if x.Name() == ini.DefaultSection {
			for _, k := range x.KeyStrings() {
				r.fault("", k, "stands before the first section")
			}
			continue
		}
		names := strings.Join(r.names(), ", ")
		r.fault(x.Name(), "", "is not a section; known are %s", names)
	}
}

func (r *reader) names() []string {
	var ns []string
	for n := range r.known {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}
