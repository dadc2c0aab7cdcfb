package config

import "maps"

// Config is the configuration in force at one offset of the log; it is never changed in place.
type Config struct {
	// Offset is the log offset after the last record of configuration that was folded in.
	Offset        uint64
	Profiles      map[string]Profile
	Organisations map[string]Organisation
	Stops         map[string]Stop
	Notices       map[string]Notice
	// Planned are accepted changes whose time has not come, by change id.
	Planned map[string]Change
}

func newConfig() Config {
	return Config{
		Profiles:      map[string]Profile{},
		Organisations: map[string]Organisation{},
		Stops:         map[string]Stop{},
		Notices:       map[string]Notice{},
		Planned:       map[string]Change{},
	}
}

// clone copies the maps, so that a change never shows in a Config that was handed out.
func (c Config) clone() Config {
	return Config{
		Offset:        c.Offset,
		Profiles:      maps.Clone(c.Profiles),
		Organisations: maps.Clone(c.Organisations),
		Stops:         maps.Clone(c.Stops),
		Notices:       maps.Clone(c.Notices),
		Planned:       maps.Clone(c.Planned),
	}
}

// Version returns the version of a resource, which is the log offset that set it, or 0 when there is none.
func (c Config) Version(k Kind, name string) uint64 {
	switch k {
	case KindProfile:
		return c.Profiles[name].Version
	case KindOrganisation:
		return c.Organisations[name].Version
	case KindStop:
		return c.Stops[name].Version
	case KindPlanned:
		return c.Planned[name].Offset
	default:
		return 0
	}
}
