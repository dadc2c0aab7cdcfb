package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// newLargeState returns a state with n profiles of two guarantees each and 53 organisations.
func newLargeState(b *testing.B, n int) *State {
	s := New()
	var is []Item
	for i := range 53 {
		is = append(is, orgItem(b, fmt.Sprint("org", i), 1, 0))
	}
	for i := range n {
		is = append(is, profileItem(b, benchProfile(i), 0))
	}
	for o := uint64(1); len(is) > 0; o++ {
		k := min(len(is), MaxItems)
		s.Fold(o, at(o), change(fmt.Sprint("set", o), "ann", is[:k]...))
		is = is[k:]
	}
	require.Len(b, s.Config().Profiles, n)
	return s
}

func benchProfile(i int) Profile {
	p := testProfile(fmt.Sprint("profile", i), time.Minute)
	for _, d := range []string{"north-quay", "south-beach"} {
		p.Guarantees = append(p.Guarantees, Guarantee{
			Organisation: fmt.Sprint("org", i%53),
			Domain:       d,
			Gangs:        2,
			Shape:        fleet.Shape{Tasks: 8, Accelerators: 1, Adjacent: fleet.LevelRack},
		})
	}
	return p
}

func BenchmarkFoldChange(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint("profiles=", n), func(b *testing.B) {
			s := newLargeState(b, n)
			o := s.Next()
			v := s.Config().Profiles["profile0"].Version
			p := benchProfile(0)
			r := change("c", "ann", profileItem(b, p, 0))
			b.ReportAllocs()
			for b.Loop() {
				r.Id = fmt.Sprint("c", o)
				r.GetConfig().Items[0].Version = v
				s.Fold(o, at(o), r)
				v = o
				o++
			}
			require.Equal(b, v, s.Config().Profiles["profile0"].Version)
			b.ReportMetric(float64(proto.Size(r)), "record-bytes")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint("profiles=", n), func(b *testing.B) {
			s := newLargeState(b, n)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				w, err := s.Snapshot()
				require.NoError(b, err)
				size = len(w.GetData())
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkSnapshotHistory measures snapshots with up to 1024 changes of history, which every snapshot contains.
func BenchmarkSnapshotHistory(b *testing.B) {
	for _, n := range []int{256, 1024} {
		b.Run(fmt.Sprint("changes=", n), func(b *testing.B) {
			s := newLargeState(b, 50)
			v := s.Config().Profiles["profile0"].Version
			for o := s.Next(); o < uint64(n); o++ {
				p := benchProfile(0)
				p.WaitBound = time.Duration(o) * time.Second
				s.Fold(o, at(o), change(fmt.Sprint("c", o*7919), "ann", profileItem(b, p, v)))
				v = o
			}
			size := 0
			for b.Loop() {
				w, err := s.Snapshot()
				require.NoError(b, err)
				size = len(w.GetData())
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}
