package plan

import (
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// exhaustiveRoom is the free room of each worker, by rack and worker name.
type exhaustiveRoom map[string]map[string]place.Resources

func exhaustiveFleet(ws []fleet.Worker) exhaustiveRoom {
	out := exhaustiveRoom{}
	for _, w := range ws {
		if out[w.Rack] == nil {
			out[w.Rack] = map[string]place.Resources{}
		}
		out[w.Rack][w.Name] = place.WorkerCapacity(w)
	}
	return out
}

// exhaustiveFits tries every placement of every gang.
func exhaustiveFits(room exhaustiveRoom, gangs []fleet.Shape) bool {
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
		if exhaustivePlace(room, rackOf, s, g, g.Tasks, rest) {
			return true
		}
	}
	return false
}

// exhaustivePlace tries every split of the tasks over the workers of a scope.
func exhaustivePlace(room exhaustiveRoom, rackOf map[string]string, scope []string, g fleet.Shape, tasks int, rest []fleet.Shape) bool {
	if tasks == 0 {
		return exhaustiveFits(room, rest)
	}
	if len(scope) == 0 {
		return false
	}
	w := scope[0]
	r := room[rackOf[w]]
	old := r[w]
	defer func() { r[w] = old }()
	for k := min(old.Holds(place.TaskResources(g)), tasks); k >= 0; k-- {
		r[w] = old.Minus(place.TaskResources(g).Times(k))
		if exhaustivePlace(room, rackOf, scope[1:], g, tasks-k, rest) {
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
