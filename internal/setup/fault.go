package setup

import (
	"fmt"
	"strings"
)

// Fault is one fault of the settings.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// Error returns section, key and reason.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}

// ErrFaults holds all faults of a file.
type ErrFaults struct {
	Path   string
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *ErrFaults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s has %d faults:", e.Path, len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.Error())
	}
	return b.String()
}
