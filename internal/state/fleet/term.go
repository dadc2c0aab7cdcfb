package fleet

import "fmt"

// Term orders the owners of one failure domain; workers use it as a fencing token.
type Term struct {
	Counter uint64
	Host    string
}

// IsZero reports whether no owner has been named yet.
func (t Term) IsZero() bool {
	return t == Term{}
}

// Less reports whether t is older than o, by counter and then by host name.
func (t Term) Less(o Term) bool {
	if t.Counter != o.Counter {
		return t.Counter < o.Counter
	}
	return t.Host < o.Host
}

// String renders the term as counter and host.
func (t Term) String() string {
	return fmt.Sprintf("%d/%s", t.Counter, t.Host)
}
