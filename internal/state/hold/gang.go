package hold

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Need is a guarantee: a number of gangs of one shape that an organisation may claim at any time.
type Need struct {
	Organisation string
	Profile      string
	// Rank orders needs by the urgency of their profile; gangs with a lower Rank value are placed first.
	Rank      int
	Gangs     int
	Shape     fleet.Shape
	WaitBound time.Duration
}

// Unkept describes gangs of a guarantee that lack a complete reservation at present.
type Unkept struct {
	Organisation string
	Profile      string
	Gangs        int
	Shape        fleet.Shape
	Reason       string
}

// String returns the gangs with their profile, organisation and reason.
func (u Unkept) String() string {
	return fmt.Sprintf("%d gangs of shape %s of profile %s of organisation %s: %s", u.Gangs, u.Shape, u.Profile, u.Organisation, u.Reason)
}

// Place is the reservation for one task of a gang.
type Place struct {
	Site *place.Site
	// Job is the id of the job that runs or starts here; empty while the place is idle.
	Job string
}

// Gang is one guaranteed gang with its reservation.
type Gang struct {
	Need Need
	// Places has one entry per task, or none while the gang has no reservation.
	Places []Place
	// Claim is the id of the job that waits until the borrowers on the places have stopped; empty if there is none.
	Claim string

	// taken is the number of places with a job.
	taken int
}

// IsIdle reports whether no job runs in the gang, so that its reservation may move.
func (g *Gang) IsIdle() bool {
	return g.taken == 0
}

// Idle returns the number of places without a job.
func (g *Gang) Idle() int {
	return len(g.Places) - g.taken
}

func (g *Gang) room() place.Resources {
	return place.TaskResources(g.Need.Shape)
}

// hasPlaces reports whether the gang has a complete reservation without idle places on closed sites.
func (g *Gang) hasPlaces() bool {
	return len(g.Places) == g.Need.Shape.Tasks &&
		!slices.ContainsFunc(g.Places, func(p Place) bool { return p.Job == "" && p.Site.Closed })
}

func (g *Gang) isSame(n Need) bool {
	return g.Need.Organisation == n.Organisation && g.Need.Profile == n.Profile && g.Need.Shape == n.Shape
}

// IsCover reports whether a job of shape s fits into the reservation of a gang of shape n.
func IsCover(n, s fleet.Shape) bool {
	return s.Tasks <= n.Tasks && place.TaskResources(s).IsWithin(place.TaskResources(n)) && adjacencyRank(n.Adjacent) <= adjacencyRank(s.Adjacent)
}

// adjacencyRank returns the rank of an adjacency level, 0 for the closest.
func adjacencyRank(l fleet.Level) int {
	switch l {
	case fleet.LevelWorker:
		return 0
	case fleet.LevelRack:
		return 1
	default:
		return 2
	}
}

// bySize orders gangs by total accelerators, tasks and adjacency, the hardest to place first.
func bySize(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(y.Need.Shape.TotalAccelerators(), x.Need.Shape.TotalAccelerators()),
		cmp.Compare(y.Need.Shape.Tasks, x.Need.Shape.Tasks),
		cmp.Compare(adjacencyRank(x.Need.Shape.Adjacent), adjacencyRank(y.Need.Shape.Adjacent)),
	)
}

// byAdjacency orders gangs by adjacency, then by the size of one task, then by size.
func byAdjacency(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(adjacencyRank(x.Need.Shape.Adjacent), adjacencyRank(y.Need.Shape.Adjacent)),
		cmp.Compare(y.Need.Shape.Accelerators, x.Need.Shape.Accelerators),
		bySize(x, y),
	)
}

// byTaskSize orders gangs by the size of one task, then by size.
func byTaskSize(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(y.Need.Shape.Accelerators, x.Need.Shape.Accelerators),
		bySize(x, y),
	)
}

// byRank orders gangs by urgency, then by size.
func byRank(x, y *Gang) int {
	return cmp.Or(cmp.Compare(x.Need.Rank, y.Need.Rank), bySize(x, y))
}
