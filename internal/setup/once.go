package setup

import "time"

// Once times the claims of idempotency keys.
type Once struct {
	// MarkerValidity is how far ahead a host promises that all claims are in the log.
	MarkerValidity time.Duration
	// KeyLifetime is how long the first answer of a key is repeated.
	KeyLifetime time.Duration
}

func loadOnce(s *section) Once {
	return Once{
		MarkerValidity: s.duration("MarkerValidity", 15*time.Second, time.Second, 10*time.Minute),
		KeyLifetime:    s.duration("KeyLifetime", 24*time.Hour, time.Minute, 365*24*time.Hour),
	}
}
