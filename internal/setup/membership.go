package setup

import "time"

// Membership holds the timing of failure detection between hosts.
type Membership struct {
	// Heartbeat is the interval of heartbeats between hosts of one failure domain.
	Heartbeat time.Duration
	// Suspect is the time without a heartbeat after which a host gets no new requests.
	Suspect time.Duration
	// Remove is the time without a heartbeat after which a host is removed from the members.
	Remove time.Duration
	// Digest is the interval of digests between failure domains.
	Digest time.Duration
}

func loadMembership(s *section) Membership {
	m := Membership{
		Heartbeat: s.duration("Heartbeat", 300*time.Millisecond, 10*time.Millisecond, time.Minute),
		Suspect:   s.duration("Suspect", 900*time.Millisecond, 20*time.Millisecond, 5*time.Minute),
		Remove:    s.duration("Remove", 3*time.Second, 30*time.Millisecond, time.Hour),
		Digest:    s.duration("Digest", 2*time.Second, 10*time.Millisecond, time.Minute),
	}
	if m.Suspect < 2*m.Heartbeat {
		s.addFault("Suspect", "%s is below two heartbeats of %s", m.Suspect, m.Heartbeat)
	}
	if m.Remove <= m.Suspect {
		s.addFault("Remove", "%s is not above Suspect, %s", m.Remove, m.Suspect)
	}
	return m
}
