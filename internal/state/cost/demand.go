package cost

import (
	"slices"
	"time"
)

const (
	// demandInterval is the resolution of the remembered demand.
	demandInterval = 100 * time.Millisecond
	// demandWindow is how far back demand is remembered.
	demandWindow = 20 * time.Second
)

// Demand remembers how much room the work above some urgency took and asked for.
type Demand struct {
	// samples holds the highest demand of each interval, oldest first.
	samples []sample
	// room is the demand that was observed last.
	room int
}

type sample struct {
	at   time.Time
	room int
}

// Observe records the room that the work takes and asks for.
func (d *Demand) Observe(now time.Time, room int) {
	d.room = room
	if n := len(d.samples); n > 0 && now.Sub(d.samples[n-1].at) < demandInterval {
		d.samples[n-1].room = max(d.samples[n-1].room, room)
		return
	}
	old := 0
	for old < len(d.samples) && now.Sub(d.samples[old].at) > demandWindow {
		old++
	}
	d.samples = append(slices.Delete(d.samples, 0, old), sample{at: now, room: room})
}

// LikelyRise returns by how much the demand is as likely as not to rise within the given time: the median rise after all moments, or
// that after moments with no more demand than now, if it is larger. It is zero if that much time has not passed yet. Times above half of demandWindow count as that
// half.
func (d *Demand) LikelyRise(within time.Duration) int {
	var all, fromHere []int
	for _, x := range d.spans(min(within, demandWindow/2)) {
		all = append(all, x.peak-x.from)
		if x.from <= d.room {
			fromHere = append(fromHere, max(x.peak-d.room, 0))
		}
	}
	return max(median(all), median(fromHere))
}

// median returns the median, or zero if there are no values.
func median(xs []int) int {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// span is a time of some length, with the demand at its start and the highest in it.
type span struct {
	from, peak int
}

// spans returns all spans of a length in the window.
func (d *Demand) spans(length time.Duration) []span {
	var out []span
	// falling holds the samples of the span that no later sample in it exceeds, so that the first is its peak.
	var falling []sample
	next, n := 0, len(d.samples)
	for _, x := range d.samples {
		end := x.at.Add(length)
		if end.After(d.samples[n-1].at) {
			break
		}
		for ; next < n && !d.samples[next].at.After(end); next++ {
			for len(falling) > 0 && falling[len(falling)-1].room <= d.samples[next].room {
				falling = falling[:len(falling)-1]
			}
			falling = append(falling, d.samples[next])
		}
		for falling[0].at.Before(x.at) {
			falling = falling[1:]
		}
		out = append(out, span{from: x.room, peak: falling[0].room})
	}
	return out
}
