package config

import "fmt"

// Cause classifies an alarm.
type Cause string

// Causes of an alarm.
const (
	// AlarmSkipped means that a record was malformed or invalid and had no effect.
	AlarmSkipped Cause = "Skipped"
	// AlarmGap means that records expired before this host read them, and no snapshot has replaced them yet.
	AlarmGap Cause = "Hole"
	// AlarmTruncated means that the log was truncated: it ends before records that this host has read from it.
	AlarmTruncated Cause = "Short"
	// AlarmSnapshot means that a snapshot is malformed or differs from the configuration folded from the records.
	AlarmSnapshot Cause = "Snapshot"
)

// Alarm reports a fault of the log or of a record to operators; the configuration in force is kept.
type Alarm struct {
	Cause  Cause
	Offset uint64
	Text   string
}

// ErrStaleSnapshot is returned when a snapshot is refused because a newer configuration is in force.
type ErrStaleSnapshot struct {
	// Have is the offset of the configuration in force, Got that of the snapshot.
	Have uint64
	Got  uint64
}

// Error names both offsets.
func (e ErrStaleSnapshot) Error() string {
	return fmt.Sprintf("stale configuration snapshot at offset %d: the configuration in force is at offset %d", e.Got, e.Have)
}

// ErrIncomplete is returned while the host lacks part of the configuration, because it has read neither log nor
// snapshot yet, or because records expired unread.
type ErrIncomplete struct {
	// From is the first missing offset and To the first one after them; To is 0 when nothing was read yet.
	From uint64
	To   uint64
}

// Error names the missing offsets.
func (e ErrIncomplete) Error() string {
	if e.To == 0 {
		return "configuration not loaded yet: neither the log nor a peer's snapshot was read"
	}
	return fmt.Sprintf("configuration incomplete: log records from offset %d to %d expired before they were read", e.From, e.To-1)
}
