package setup

import "time"

// Once holds the timing of claims of idempotency keys.
type Once struct {
	// MarkerValidity is how long a marker in the log guarantees that all claims are in the log.
	MarkerValidity time.Duration
	// KeyLifetime is how long a repeated key is answered with its first answer.
	KeyLifetime time.Duration
}

func loadOnce(s *section) Once {
	return Once{
		MarkerValidity: s.duration("MarkerValidity", 15*time.Second, time.Second, 10*time.Minute),
		KeyLifetime:    s.duration("KeyLifetime", 24*time.Hour, time.Minute, 365*24*time.Hour),
	}
}
