package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvacuationLog guards against requests that come back or stay after a host has read records twice, late, or not at all.
func TestEvacuationLog(t *testing.T) {
	at := time.Unix(100, 0)
	ask := func(d string, offset int64) EvacuationChange { return EvacuationChange{Domain: d, Offset: offset} }
	withdraw := func(d string, offset int64) EvacuationChange {
		return EvacuationChange{Domain: d, Offset: offset, IsWithdrawn: true}
	}
	malformed := EvacuationChange{Domain: "a", Offset: 9, IsMalformed: true}
	apply := func(cs ...EvacuationChange) func(*EvacuationLog) {
		return func(l *EvacuationLog) {
			for _, c := range cs {
				l.Apply(c, at)
			}
		}
	}
	reload := func(before int64, cs ...EvacuationChange) func(*EvacuationLog) {
		return func(l *EvacuationLog) { l.Reload(cs, before, at) }
	}
	for name, x := range map[string]struct {
		steps []func(*EvacuationLog)
		want  []string
	}{
		"several":                      {[]func(*EvacuationLog){apply(ask("b", 1), ask("a", 2))}, []string{"a", "b"}},
		"withdrawn":                    {[]func(*EvacuationLog){apply(ask("a", 1), withdraw("a", 2))}, nil},
		"older record read again":      {[]func(*EvacuationLog){apply(ask("a", 1), withdraw("a", 2), ask("a", 1))}, nil},
		"asked for again":              {[]func(*EvacuationLog){apply(ask("a", 1), withdraw("a", 2), ask("a", 3))}, []string{"a"}},
		"missing after a gap":          {[]func(*EvacuationLog){apply(ask("a", 1), ask("b", 2)), reload(8, ask("b", 2))}, []string{"b"}},
		"reload older than the record": {[]func(*EvacuationLog){apply(ask("a", 8)), reload(8)}, []string{"a"}},
		"withdrawn between two pages":  {[]func(*EvacuationLog){reload(5, ask("a", 1)), apply(withdraw("a", 5))}, nil},
		"malformed":                    {[]func(*EvacuationLog){apply(malformed)}, nil},
		"malformed over a request":     {[]func(*EvacuationLog){apply(ask("a", 1), malformed), reload(12, malformed)}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var l EvacuationLog
			for _, s := range x.steps {
				s(&l)
			}
			var got []string
			for _, e := range l.InForce().Find() {
				require.Equal(t, at, e.Since)
				got = append(got, e.Domain)
			}
			require.Equal(t, x.want, got)
		})
	}
}
