package config

import "fmt"

// Cause says what an alarm is about.
type Cause string

// Causes of an alarm.
const (
	// AlarmSkipped means that a record did not parse or did not fit, and had no effect.
	AlarmSkipped Cause = "Skipped"
	// AlarmHole means that records expired before this host had read them and no snapshot stands in for them.
	AlarmHole Cause = "Hole"
	// AlarmShort means that the log ends before records that this host has read from it.
	AlarmShort Cause = "Short"
	// AlarmSnapshot means that a snapshot does not decode or differs from what the records gave.
	AlarmSnapshot Cause = "Snapshot"
	// AlarmOlder means that an older configuration was offered and refused.
	AlarmOlder Cause = "Older"
)

// Alarm tells operators that the configuration needs a look; the configuration in force stays.
type Alarm struct {
	Cause  Cause
	Offset uint64
	Text   string
}

// ErrOlder says that a configuration was refused because a newer one is in force.
type ErrOlder struct {
	Have uint64
	Got  uint64
}

// Error names both offsets.
func (e ErrOlder) Error() string {
	return fmt.Sprintf("configuration up to offset %d is older than that in force, up to %d", e.Got, e.Have)
}

// ErrIncomplete says that the host does not know the whole configuration, as its records have expired.
type ErrIncomplete struct {
	// From and To bound the offsets that are missing; To is not among them.
	From uint64
	To   uint64
}

// Error names the missing offsets.
func (e ErrIncomplete) Error() string {
	if e.To == 0 {
		return "configuration is not known yet: neither log nor peers were read"
	}
	return fmt.Sprintf("configuration lacks the log records from offset %d to %d, which expired", e.From, e.To-1)
}
