package setup

import "time"

// Stream bounds what one host appends to the platform's log.
type Stream struct {
	// BatchDelay is how long a record waits for others to share its append.
	BatchDelay time.Duration
	// Rate is the limit of appends a second.
	Rate int
	// Backlog is the number of records that wait while the log is down.
	Backlog int
}

func loadStream(s *section) Stream {
	return Stream{
		BatchDelay: s.duration("BatchDelay", 20*time.Millisecond, 0, time.Second),
		Rate:       s.count("Rate", 20, 1, 1000),
		Backlog:    s.count("Backlog", 10_000, 10, 1_000_000),
	}
}
