package fleet

import "fmt"

// Term identifies and orders the owners of a failure domain; workers use it as a fencing token.
type Term struct {
	Counter uint64
	Host    string
}

// IsZero reports whether the term is unset, as before the first owner of a failure domain.
func (t Term) IsZero() bool {
	return t == Term{}
}

// Less reports whether t precedes o, by counter and then by host name.
func (t Term) Less(o Term) bool {
	if t.Counter != o.Counter {
		return t.Counter < o.Counter
	}
	return t.Host < o.Host
}

// String formats the term as counter/host.
func (t Term) String() string {
	return fmt.Sprintf("%d/%s", t.Counter, t.Host)
}
