package setup

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// Error renders section, key and reason.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}

// ErrFaults is everything that is wrong with a file.
type ErrFaults struct {
	Path   string
	Faults []Fault
}

// Error renders one fault on each line.
func (e *ErrFaults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s has %d faults:", e.Path, len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.Error())
	}
	return b.String()
}
