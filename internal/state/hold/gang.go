package hold

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Need is a number of gangs of one shape that an organisation may claim at any time.
type Need struct {
	Organisation string
	Profile      string
	// Rank is the urgency of the profile; the lowest is kept first when not all can be.
	Rank      int
	Gangs     int
	Shape     fleet.Shape
	WaitBound time.Duration
}

// Unkept names gangs of a guarantee that cannot be kept at present.
type Unkept struct {
	Organisation string
	Profile      string
	Gangs        int
	Shape        fleet.Shape
	Reason       string
}

// String renders the gangs with their owner and the reason.
func (u Unkept) String() string {
	return fmt.Sprintf("%d gangs of %s of %s for %s: %s", u.Gangs, u.Shape, u.Profile, u.Organisation, u.Reason)
}

// Place is room for one task of a gang.
type Place struct {
	Site *place.Site
	// Job runs or starts here; it is empty while the place is idle.
	Job string
}

// Gang is one guaranteed gang with the places that are reserved for it.
type Gang struct {
	Need Need
	// Places has one entry per task, or none while the gang cannot be kept.
	Places []Place
	// Claim is the job that waits for borrowers to leave the places.
	Claim string

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

func (g *Gang) room() place.Room {
	return place.TaskRoom(g.Need.Shape)
}

// isKept reports whether every place of the gang is on a worker that is there.
func (g *Gang) isKept() bool {
	return len(g.Places) == g.Need.Shape.Tasks &&
		!slices.ContainsFunc(g.Places, func(p Place) bool { return p.Job == "" && p.Site.Closed })
}

func (g *Gang) isSame(n Need) bool {
	return g.Need.Organisation == n.Organisation && g.Need.Profile == n.Profile && g.Need.Shape == n.Shape
}

// IsCover reports whether a job of shape s may run in a gang of shape n.
func IsCover(n, s fleet.Shape) bool {
	return s.Tasks <= n.Tasks && place.TaskRoom(s).IsWithin(place.TaskRoom(n)) && closeness(n.Adjacent) <= closeness(s.Adjacent)
}

func closeness(l fleet.Level) int {
	switch l {
	case fleet.LevelWorker:
		return 0
	case fleet.LevelRack:
		return 1
	default:
		return 2
	}
}

// bySize orders gangs so that those which are hardest to place come first.
func bySize(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(y.Need.Shape.TotalAccelerators(), x.Need.Shape.TotalAccelerators()),
		cmp.Compare(y.Need.Shape.Tasks, x.Need.Shape.Tasks),
		cmp.Compare(closeness(x.Need.Shape.Adjacent), closeness(y.Need.Shape.Adjacent)),
	)
}

// byCloseness orders gangs by adjacency, then by the size of one task, then by size.
func byCloseness(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(closeness(x.Need.Shape.Adjacent), closeness(y.Need.Shape.Adjacent)),
		cmp.Compare(y.Need.Shape.Accelerators, x.Need.Shape.Accelerators),
		bySize(x, y),
	)
}

// byTask orders gangs by the size of one task, then by size.
func byTask(x, y *Gang) int {
	return cmp.Or(
		cmp.Compare(y.Need.Shape.Accelerators, x.Need.Shape.Accelerators),
		bySize(x, y),
	)
}

// byRank orders gangs by urgency, then by size.
func byRank(x, y *Gang) int {
	return cmp.Or(cmp.Compare(x.Need.Rank, y.Need.Rank), bySize(x, y))
}
