package plan

import (
	"slices"
	"strings"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Kinds of planned stop that affect workers.
const (
	stopWorker = "Worker"
	stopRack   = "Rack"
	stopDomain = "Domain"
)

// domainStops returns the planned stops that affect workers of the failure domain, ordered by name.
func (p *Planner) domainStops() []config.Stop {
	var out []config.Stop
	for _, x := range p.config.Stops {
		if x.Domain == p.domain && x.Kind != "Host" {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(x, y config.Stop) int { return strings.Compare(x.Name, y.Name) })
	return out
}

func stopCovers(x config.Stop, w fleet.Worker) bool {
	switch x.Kind {
	case stopWorker:
		return x.Target == w.Name
	case stopRack:
		return x.Target == w.Rack
	case stopDomain:
		return true
	default:
		return false
	}
}
