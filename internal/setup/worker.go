package setup

import "time"

// Worker holds the limits for the use of workers.
type Worker struct {
	// Lease is how long a worker runs tasks without a renewal from a host.
	Lease time.Duration
	// Connections is the limit of open connections to one worker over all hosts.
	Connections int
}

func loadWorker(s *section) Worker {
	return Worker{
		Lease:       s.duration("Lease", time.Minute, 100*time.Millisecond, time.Hour),
		Connections: s.count("Connections", 64, 1, 10_000),
	}
}
