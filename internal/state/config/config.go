package config

import "maps"

// Config is the configuration in force at one log offset; it is immutable once published.
type Config struct {
	// Offset is the log offset after the last configuration record that was folded in.
	Offset        uint64
	Profiles      map[string]Profile
	Organisations map[string]Organisation
	Stops         map[string]Stop
	Notices       map[string]Notice
	// Planned holds accepted changes that take effect later, by change id.
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

// clone copies the maps, so that a modification does not show in a Config that a reader holds.
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

// Version returns the version of a resource, which is the log offset that set it, or 0 when it does not exist.
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
