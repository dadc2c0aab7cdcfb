package plan

import (
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// naiveRoom is the room that is left on each worker of a rack.
type naiveRoom map[string]map[string]place.Room

func naiveFleet(ws []fleet.Worker) naiveRoom {
	out := naiveRoom{}
	for _, w := range ws {
		if out[w.Rack] == nil {
			out[w.Rack] = map[string]place.Room{}
		}
		out[w.Rack][w.Name] = place.WorkerRoom(w)
	}
	return out
}

// naiveFits tries every placement of every gang.
func naiveFits(room naiveRoom, gangs []fleet.Shape) bool {
	if len(gangs) == 0 {
		return true
	}
	g, rest := gangs[0], gangs[1:]
	var scopes [][]string
	rackOf := map[string]string{}
	var all []string
	for r, ws := range room {
		var names []string
		for w := range ws {
			rackOf[w] = r
			names = append(names, w)
			if g.Adjacent == fleet.LevelWorker {
				scopes = append(scopes, []string{w})
			}
		}
		all = append(all, names...)
		if g.Adjacent == fleet.LevelRack {
			scopes = append(scopes, names)
		}
	}
	if g.Adjacent == fleet.LevelDomain {
		scopes = append(scopes, all)
	}
	for _, s := range scopes {
		if naivePlace(room, rackOf, s, g, g.Tasks, rest) {
			return true
		}
	}
	return false
}

// naivePlace tries every split of the tasks over the workers of a scope.
func naivePlace(room naiveRoom, rackOf map[string]string, scope []string, g fleet.Shape, tasks int, rest []fleet.Shape) bool {
	if tasks == 0 {
		return naiveFits(room, rest)
	}
	if len(scope) == 0 {
		return false
	}
	w := scope[0]
	r := room[rackOf[w]]
	old := r[w]
	defer func() { r[w] = old }()
	for k := min(old.Holds(place.TaskRoom(g)), tasks); k >= 0; k-- {
		r[w] = old.Minus(place.TaskRoom(g).Times(k))
		if naivePlace(room, rackOf, scope[1:], g, tasks-k, rest) {
			return true
		}
	}
	return false
}

func shapesOf(ns []hold.Need) []fleet.Shape {
	var out []fleet.Shape
	for _, n := range ns {
		for range n.Gangs {
			out = append(out, n.Shape)
		}
	}
	return out
}
