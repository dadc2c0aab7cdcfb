package setup

import "time"

// Owner holds the timing of the ownership of a failure domain.
type Owner struct {
	// Lease is how long an owner may act without a response from its peers.
	Lease time.Duration
}

func loadOwner(s *section) Owner {
	return Owner{Lease: s.duration("Lease", 800*time.Millisecond, 50*time.Millisecond, time.Minute)}
}
