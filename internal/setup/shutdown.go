package setup

import "time"

// Shutdown bounds how long a daemon waits for requests in flight during shutdown.
type Shutdown struct {
	Bound time.Duration
}

func loadShutdown(s *section) Shutdown {
	return Shutdown{Bound: s.duration("Bound", 20*time.Second, 100*time.Millisecond, time.Hour)}
}
