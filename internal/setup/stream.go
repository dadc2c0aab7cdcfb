package setup

import "time"

// Stream bounds the appends of one host to the platform's log.
type Stream struct {
	// BatchDelay is how long a record waits for other records of the same append.
	BatchDelay time.Duration
	// Rate is the limit of appends per second.
	Rate int
	// Backlog is the maximum number of records that are buffered while the log is down.
	Backlog int
}

func loadStream(s *section) Stream {
	return Stream{
		BatchDelay: s.duration("BatchDelay", 20*time.Millisecond, 0, time.Second),
		Rate:       s.count("Rate", 20, 1, 1000),
		Backlog:    s.count("Backlog", 10_000, 10, 1_000_000),
	}
}
