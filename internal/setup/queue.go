package setup

import "github.com/auburncleat/auburncleat/internal/state/fleet"

// Queue bounds the queued jobs of a failure domain.
type Queue struct {
	// PerOrganisation is the maximum number of queued jobs of one organisation.
	PerOrganisation int
	// Bytes bounds the total size of the work of all queued jobs.
	Bytes fleet.Bytes
}

func loadQueue(s *section) Queue {
	return Queue{
		PerOrganisation: s.count("PerOrganisation", 10_000, 1, 1_000_000),
		Bytes:           s.bytes("Bytes", 32*fleet.Megabyte, fleet.Megabyte, 16*fleet.Gigabyte),
	}
}
