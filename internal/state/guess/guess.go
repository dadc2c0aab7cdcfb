package guess

import (
	"math"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	// window is the number of jobs that are remembered of each kind.
	window = 64
	// minSamples is the number of jobs from which their history is trusted.
	minSamples = 5
	// maxKinds bounds the organisations and profiles that are remembered.
	maxKinds = 4096
	// planQuantile is the part of jobs that should end within their planned time.
	planQuantile = 0.9
	lowQuantile  = 0.1
)

// Kind is the work of one organisation under one profile.
type Kind struct {
	Organisation string
	Profile      string
}

// ring keeps the newest samples and their sorted copy.
type ring struct {
	values []float64
	next   int
	sorted []float64
}

func (r *ring) add(v float64) {
	r.sorted = nil
	if len(r.values) < window {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % window
}

func (r *ring) quantile(q float64) float64 {
	if r.sorted == nil {
		r.sorted = slices.Clone(r.values)
		slices.Sort(r.sorted)
	}
	return r.sorted[int(math.Ceil(q*float64(len(r.sorted)-1)))]
}

// spread tells how far apart the high and the low samples are, as a factor.
func (r *ring) spread() float64 {
	return r.quantile(planQuantile) / max(r.quantile(lowQuantile), math.SmallestNonzeroFloat32)
}

type history struct {
	// took holds run times in seconds, ratio those over the declared ones, and memory used over declared memory.
	took   ring
	ratio  ring
	memory ring
}

// Book remembers what work took; it is used by one goroutine.
type Book struct {
	kinds map[Kind]*history
}

// New returns an empty book.
func New() *Book {
	return &Book{kinds: map[Kind]*history{}}
}

func (b *Book) get(k Kind) *history {
	h := b.kinds[k]
	if h != nil {
		return h
	}
	if len(b.kinds) >= maxKinds {
		for o := range b.kinds {
			delete(b.kinds, o)
			break
		}
	}
	h = &history{}
	b.kinds[k] = h
	return h
}

// Ran notes a job that ended well; declared is 0 when it declared nothing.
func (b *Book) Ran(k Kind, declared, took time.Duration) {
	h := b.get(k)
	h.took.add(took.Seconds())
	if declared > 0 {
		h.ratio.add(float64(took) / float64(declared))
	}
}

// RunTime returns the time within which nine of ten such jobs end, from whichever of the run times and their ratios to
// the declared ones varies less; without history it returns the declared time.
func (b *Book) RunTime(k Kind, declared time.Duration) time.Duration {
	h := b.kinds[k]
	if h == nil || len(h.took.values) < minSamples {
		return declared
	}
	if declared > 0 && len(h.ratio.values) >= minSamples && h.ratio.spread() <= h.took.spread() {
		return time.Duration(float64(declared) * h.ratio.quantile(planQuantile))
	}
	return time.Duration(h.took.quantile(planQuantile) * float64(time.Second))
}

// Used notes the most memory that a task of a job took.
func (b *Book) Used(k Kind, declared, used fleet.Bytes) {
	if declared > 0 {
		b.get(k).memory.add(float64(used) / float64(declared))
	}
}

// Memory returns the memory that nine of ten such tasks stay within, but never less than was declared.
func (b *Book) Memory(k Kind, declared fleet.Bytes) fleet.Bytes {
	h := b.kinds[k]
	if h == nil || len(h.memory.values) < minSamples {
		return declared
	}
	return max(declared, fleet.Bytes(float64(declared)*h.memory.quantile(planQuantile)))
}
