package config

// Config is the configuration in force at one offset of the log; it is never changed in place.
type Config struct {
	// Offset is the log offset after the last record that was folded in.
	Offset        uint64
	Profiles      map[string]Profile
	Organisations map[string]Organisation
	Stops         map[string]Stop
	Notices       map[string]Notice
}
