package setup

import "github.com/auburncleat/auburncleat/internal/state/fleet"

// Queue bounds the jobs that wait in a failure domain.
type Queue struct {
	// PerOrganisation is the number of jobs of one organisation.
	PerOrganisation int
	// Bytes bounds the work of all queued jobs together.
	Bytes fleet.Bytes
}

func loadQueue(s *section) Queue {
	return Queue{
		PerOrganisation: s.count("PerOrganisation", 10_000, 1, 1_000_000),
		Bytes:           s.bytes("Bytes", 32*fleet.Megabyte, fleet.Megabyte, 16*fleet.Gigabyte),
	}
}
