package setup

import "time"

// Shutdown bounds how long a stopping daemon waits for requests in flight.
type Shutdown struct {
	Bound time.Duration
}

func loadShutdown(s *section) Shutdown {
	return Shutdown{Bound: s.duration("Bound", 20*time.Second, 100*time.Millisecond, time.Hour)}
}
