package place

import (
	"math"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Resources is an amount of each resource of a worker.
type Resources struct {
	Slots        int
	Accelerators int
	Processors   int
	Memory       fleet.Bytes
}

// TaskResources returns the resources that one task of a shape needs.
func TaskResources(s fleet.Shape) Resources {
	return Resources{Slots: 1, Accelerators: s.Accelerators, Processors: s.Processors, Memory: s.Memory}
}

// WorkerCapacity returns the capacity of a worker.
func WorkerCapacity(w fleet.Worker) Resources {
	return Resources{Slots: w.Slots, Accelerators: w.Accelerators, Processors: w.Processors, Memory: w.Memory}
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Slots + o.Slots, r.Accelerators + o.Accelerators, r.Processors + o.Processors, r.Memory + o.Memory}
}

// Minus returns r less o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Slots - o.Slots, r.Accelerators - o.Accelerators, r.Processors - o.Processors, r.Memory - o.Memory}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Slots * n, r.Accelerators * n, r.Processors * n, r.Memory * fleet.Bytes(n)}
}

// Min returns the minimum of r and o for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		min(r.Slots, o.Slots), min(r.Accelerators, o.Accelerators),
		min(r.Processors, o.Processors), min(r.Memory, o.Memory),
	}
}

// Max returns the maximum of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		max(r.Slots, o.Slots), max(r.Accelerators, o.Accelerators),
		max(r.Processors, o.Processors), max(r.Memory, o.Memory),
	}
}

// IsWithin reports whether r exceeds o in no resource.
func (r Resources) IsWithin(o Resources) bool {
	return r.Slots <= o.Slots && r.Accelerators <= o.Accelerators &&
		r.Processors <= o.Processors && r.Memory <= o.Memory
}

// Holds returns how many tasks that need n each fit into r.
func (r Resources) Holds(n Resources) int {
	if !n.IsWithin(r) {
		return 0
	}
	k := math.MaxInt
	if n.Slots > 0 {
		k = r.Slots / n.Slots
	}
	if n.Accelerators > 0 {
		k = min(k, r.Accelerators/n.Accelerators)
	}
	if n.Processors > 0 {
		k = min(k, r.Processors/n.Processors)
	}
	if n.Memory > 0 {
		k = min(k, int(r.Memory/n.Memory))
	}
	return k
}
