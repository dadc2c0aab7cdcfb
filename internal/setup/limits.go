package setup

import "github.com/auburncleat/auburncleat/internal/state/fleet"

const kilobyte fleet.Bytes = 1 << 10

// Limits bounds the requests of callers and operators and the stored answers.
type Limits struct {
	// Body bounds the body of one request.
	Body fleet.Bytes
	// Header bounds the header of one request.
	Header fleet.Bytes
	// Connections bounds the open connections of each listener.
	Connections int
	// Answers bounds the total size of the answers that callers have not fetched yet.
	Answers fleet.Bytes
}

func loadLimits(s *section) Limits {
	return Limits{
		Body:        s.bytes("Body", fleet.Megabyte, kilobyte, 64*fleet.Megabyte),
		Header:      s.bytes("Header", 16*kilobyte, kilobyte, fleet.Megabyte),
		Connections: s.count("Connections", 1000, 1, 100_000),
		Answers:     s.bytes("Answers", 32*fleet.Megabyte, fleet.Megabyte, 16*fleet.Gigabyte),
	}
}
