package events_test

import (
	"bytes"
	"encoding/xml"
	"flag"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "31")
	os.Exit(m.Run())
}

// process is a simulated process whose wall clock is skewed and may step back.
type process struct {
	wall  int64
	clock *events.Clock
	ring  *events.Ring
}

// TestMergeKeepsCauseBeforeEffect checks that merged events keep their causal order while processes with skewed wall
// clocks send each other messages.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps := make([]*process, 3)
		for i := range ps {
			p := &process{wall: rapid.Int64Range(1_000_000, 1_010_000).Draw(t, "wall")}
			p.clock = events.NewClock(func() time.Time { return time.UnixMilli(p.wall) })
			p.ring = events.NewRing(string(rune('a'+i)), 1000, p.clock)
			ps[i] = p
		}
		var pairs [][2]string
		name := func(n int) string { return strings.Repeat("x", n) }
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := 0; n < steps; n++ {
			from := ps[rapid.IntRange(0, 2).Draw(t, "from")]
			to := ps[rapid.IntRange(0, 2).Draw(t, "to")]
			from.wall += rapid.Int64Range(-50, 50).Draw(t, "step")
			from.ring.Add(events.Event{Job: name(2*n + 1)})
			to.clock.Observe(from.clock.Next())
			to.ring.Add(events.Event{Job: name(2*n + 2)})
			pairs = append(pairs, [2]string{name(2*n + 1), name(2*n + 2)})
		}
		var runs [][]events.Event
		for _, p := range ps {
			es, _ := p.ring.Find(events.Filter{})
			runs = append(runs, es, es)
		}
		at := map[string]int{}
		merged := events.Merge(runs...)
		for i, e := range merged {
			at[e.Job] = i
		}
		if len(merged) != 2*steps {
			t.Fatalf("%d events instead of %d", len(merged), 2*steps)
		}
		for _, c := range pairs {
			if at[c[0]] >= at[c[1]] {
				t.Fatalf("effect at %d is not after its cause at %d", at[c[1]], at[c[0]])
			}
		}
	})
}

func TestRingIsBounded(t *testing.T) {
	r := events.NewRing("h", 3, events.NewClock(time.Now))
	for _, j := range []string{"1", "2", "3", "4", "5"} {
		r.Add(events.Event{Job: j})
	}
	es, dropped := r.Find(events.Filter{})
	require.EqualValues(t, 2, dropped)
	require.Len(t, es, 3)
	require.Equal(t, "3", es[0].Job)
	es, _ = r.Find(events.Filter{Job: "4"})
	require.Len(t, es, 1)
	es, _ = r.Find(events.Filter{Limit: 1})
	require.Equal(t, "5", es[0].Job)
}

func sample() []events.Event {
	at := events.Stamp(1_700_000_000_000 << 16)
	return []events.Event{
		{At: at, Host: "north-quay-1", Kind: events.OwnerChanged, Text: "term 1 <&> \"x\""},
		{At: at + 1, Host: "north-quay-1", Kind: events.JobStarted, Job: "north-quay.k1", Worker: "r1-w1"},
		{At: at + 900<<16, Host: "north-quay-2", Kind: events.MemberDown, Text: "north-quay-1"},
	}
}

func TestJSONRoundTrip(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, events.WriteJSON(&b, sample()))
	got, err := events.ReadJSON(&b)
	require.NoError(t, err)
	require.Equal(t, sample(), got)
}

func TestTextAlignsColumns(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, events.WriteText(&b, sample()))
	ls := strings.Split(b.String(), "\n")
	require.Equal(t, `22:13:20.000  north-quay-1  JobStarted    north-quay.k1 r1-w1`, ls[1])
	require.Equal(t, strings.Index(ls[0], "term"), strings.Index(ls[1], "north-quay.k1"))
}

func TestSVGIsSelfContained(t *testing.T) {
	for _, es := range [][]events.Event{nil, sample()[:1], sample()} {
		var b bytes.Buffer
		require.NoError(t, events.WriteSVG(&b, es))
		d := xml.NewDecoder(bytes.NewReader(b.Bytes()))
		titles := 0
		for {
			x, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
			s, ok := x.(xml.StartElement)
			if !ok {
				continue
			}
			require.NotContains(t, []string{"image", "script", "link", "use"}, s.Name.Local)
			if s.Name.Local == "title" {
				titles++
			}
		}
		require.Equal(t, len(es), titles)
	}
}

func FuzzReadJSON(f *testing.F) {
	var b bytes.Buffer
	require.NoError(f, events.WriteJSON(&b, sample()))
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		es, err := events.ReadJSON(bytes.NewReader(in))
		if err != nil {
			return
		}
		require.NoError(t, events.WriteSVG(io.Discard, events.Merge(es)))
	})
}
