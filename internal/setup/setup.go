package setup

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Settings holds the settings of one daemon by section.
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

// Load reads and checks the file at path. The error is *ErrFaults if the content of the file has faults.
func Load(path string) (*Settings, error) {
	s, _, err := load(path, path)
	return s, err
}

// Parse parses and checks the content of a file.
func Parse(content []byte) (*Settings, error) {
	s, _, err := load("settings", content)
	return s, err
}

// load reads and checks settings from a path or from content, and returns them with the known keys by section.
func load(name string, source any) (*Settings, map[string][]string, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, source)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings %s: %w", name, err)
	}
	r := &reader{file: f, knownKeys: map[string][]string{}}
	var s Settings
	r.readSection("Host", func(x *section) { s.Host = loadHost(x) })
	r.readSection("Listen", func(x *section) { s.Listen = loadListen(x) })
	r.readSection("Peers", func(x *section) { s.Peers = loadPeers(x) })
	r.readSection("Platform", func(x *section) { s.Platform = loadPlatform(x) })
	r.readSection("Membership", func(x *section) { s.Membership = loadMembership(x) })
	r.readSection("Owner", func(x *section) { s.Owner = loadOwner(x) })
	r.readSection("Worker", func(x *section) { s.Worker = loadWorker(x) })
	r.readSection("Queue", func(x *section) { s.Queue = loadQueue(x) })
	r.readSection("Once", func(x *section) { s.Once = loadOnce(x) })
	r.readSection("Stream", func(x *section) { s.Stream = loadStream(x) })
	r.readSection("Limits", func(x *section) { s.Limits = loadLimits(x) })
	r.readSection("Plan", func(x *section) { s.Plan = loadPlan(x) })
	r.readSection("Operators", func(x *section) { s.Operators = loadOperators(x) })
	r.readSection("Log", func(x *section) { s.Log = loadLog(x) })
	r.readSection("Timeline", func(x *section) { s.Timeline = loadTimeline(x) })
	r.readSection("Shutdown", func(x *section) { s.Shutdown = loadShutdown(x) })
	r.checkAcrossSections(s)
	r.checkUnknownSections()
	if len(r.faults) > 0 {
		return nil, r.knownKeys, &ErrFaults{Path: name, Faults: r.faults}
	}
	return &s, r.knownKeys, nil
}

type reader struct {
	file      *ini.File
	knownKeys map[string][]string
	faults    []Fault
}

func (r *reader) readSection(name string, f func(*section)) {
	s := &section{name: name, ini: r.file.Section(name)}
	f(s)
	s.checkUnknownKeys()
	s.checkRepeatedKeys()
	r.knownKeys[name] = s.knownKeys
	r.faults = append(r.faults, s.faults...)
}

// checkAcrossSections checks the constraints between settings of different sections.
func (r *reader) checkAcrossSections(s Settings) {
	if s.Owner.Lease <= s.Membership.Heartbeat {
		r.addFault("Owner", "Lease", "%s is not above the heartbeat of %s", s.Owner.Lease, s.Membership.Heartbeat)
	}
	if s.Owner.Lease >= s.Membership.Suspect {
		r.addFault("Owner", "Lease", "%s is not below [Membership] Suspect, %s; a new owner could act at the same time as the old one",
			s.Owner.Lease, s.Membership.Suspect)
	}
	if s.Worker.Lease <= s.Owner.Lease {
		r.addFault("Worker", "Lease", "%s is not above the owner's lease of %s", s.Worker.Lease, s.Owner.Lease)
	}
	for _, x := range s.Peers.Seeds {
		if len(s.Host.Domains) > 0 && !slices.Contains(s.Host.Domains, x.Domain) {
			r.addFault("Peers", "Seeds", "failure domain %q of %s is not among the Domains of [Host]", x.Domain, x.Name)
		}
	}
}

func (r *reader) checkUnknownSections() {
	for _, x := range r.file.Sections() {
		if _, ok := r.knownKeys[x.Name()]; ok {
			continue
		}
		if x.Name() == ini.DefaultSection {
			for _, k := range x.KeyStrings() {
				r.addFault("", k, "is set before the first section")
			}
			continue
		}
		names := strings.Join(r.sectionNames(), ", ")
		r.addFault(x.Name(), "", "is not a section; valid sections are %s", names)
	}
}

func (r *reader) sectionNames() []string {
	var ns []string
	for n := range r.knownKeys {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

func (r *reader) addFault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}
