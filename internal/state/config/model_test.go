package config

import (
	"fmt"
	"testing"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// naive is the fold written down plainly: the whole log is replayed for every look.
type naive struct {
	log []*wire.Record
}

type naiveOrg struct {
	weight  int
	version uint64
}

func (n naive) replay() (map[string]naiveOrg, map[string]string) {
	orgs := map[string]naiveOrg{}
	verdicts := map[string]string{}
	for i, r := range n.log {
		c := r.GetConfig()
		if _, ok := verdicts[r.GetId()]; ok || c == nil {
			continue
		}
		verdict := "accepted"
		next := map[string]naiveOrg{}
		for k, v := range orgs {
			next[k] = v
		}
		for _, it := range c.GetItems() {
			if orgs[it.GetName()].version != it.GetVersion() {
				verdict = "conflict"
			}
		}
		for _, it := range c.GetItems() {
			if it.GetRemove() {
				delete(next, it.GetName())
				continue
			}
			var name string
			var weight int
			if k, err := fmt.Sscanf(string(it.GetJson()), `{"Name":%q,"Weight":%d}`, &name, &weight); k != 2 || err != nil || weight < 1 {
				if verdict == "accepted" {
					verdict = "invalid"
				}
				continue
			}
			next[name] = naiveOrg{weight: weight, version: uint64(i + 1)}
		}
		verdicts[r.GetId()] = verdict
		if verdict == "accepted" {
			orgs = next
		}
	}
	return orgs, verdicts
}

// machine drives one state that hears everything, and one that restarts, lags, loses records and hears from its peer.
type machine struct {
	naive naive
	ids   int
	whole *State
	other *State
	read  int
	first int
}

func (m *machine) append(r *wire.Record) {
	m.naive.log = append(m.naive.log, r)
	o := uint64(len(m.naive.log))
	m.whole.Fold(o, at(o), r)
}

func (m *machine) Publish(t *rapid.T) {
	orgs, _ := m.naive.replay()
	var items []Item
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID).Draw(t, "names") {
		v := orgs[name].version
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			v = uint64(rapid.IntRange(0, len(m.naive.log)).Draw(t, "version"))
		}
		it := Item{Kind: KindOrganisation, Name: name, Version: v}
		it.Remove = v > 0 && rapid.IntRange(0, 3).Draw(t, "remove") == 0
		if !it.Remove {
			it.JSON = fmt.Appendf(nil, `{"Name":%q,"Weight":%d}`, name, rapid.IntRange(0, 9).Draw(t, "weight"))
		}
		items = append(items, it)
	}
	m.ids++
	m.append(change(fmt.Sprint("id", m.ids), "ann", items...))
}

func (m *machine) Repeat(t *rapid.T) {
	if len(m.naive.log) == 0 {
		t.Skip("nothing to repeat")
	}
	m.append(rapid.SampledFrom(m.naive.log).Draw(t, "record"))
}

func (m *machine) Rewrite(t *rapid.T) {
	if len(m.naive.log) == 0 {
		t.Skip("nothing to keep")
	}
	w, err := m.whole.Snapshot()
	require.NoError(t, err)
	w = proto.Clone(w).(*wire.ConfigSnapshot)
	m.append(&wire.Record{Id: fmt.Sprint("s", len(m.naive.log)), Body: &wire.Record_Snapshot{Snapshot: w}})
	m.first = len(m.naive.log) - 1
}

func (m *machine) Read(t *rapid.T) {
	if m.read < m.first {
		m.read = m.first
	}
	m.other.Observe(Range{From: uint64(m.read + 1), First: uint64(m.first + 1), Next: uint64(len(m.naive.log) + 1)})
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		if m.read < len(m.naive.log) {
			m.read++
			m.other.Fold(uint64(m.read), at(uint64(m.read)), m.naive.log[m.read-1])
		}
	}
}

func (m *machine) Restart(*rapid.T) {
	m.other = New()
	m.read = m.first
}

func (m *machine) HearPeer(t *rapid.T) {
	if len(m.naive.log) == 0 {
		t.Skip("peer knows nothing")
	}
	w, err := m.whole.Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.other.Load(w))
}

func (m *machine) HearAgain(t *rapid.T) {
	if m.read > 0 {
		o := uint64(rapid.IntRange(1, m.read).Draw(t, "offset"))
		if o > uint64(m.first) {
			m.other.Fold(o, at(o), m.naive.log[o-1])
		}
	}
}

func (m *machine) Check(t *rapid.T) {
	orgs, verdicts := m.naive.replay()
	compareNaive(t, m.whole, orgs)
	for id, want := range verdicts {
		c, ok := m.whole.GetChange(id)
		require.True(t, ok)
		got := "accepted"
		if c.Conflict != nil {
			got = "conflict"
		} else if len(c.Problems) > 0 {
			got = "invalid"
		}
		require.Equal(t, want, got, id)
	}
	if m.other.Ready() == nil {
		n := naive{log: m.naive.log[:m.other.Next()-1]}
		orgs, _ = n.replay()
		compareNaive(t, m.other, orgs)
	}
}

func compareNaive(t require.TestingT, s *State, orgs map[string]naiveOrg) {
	got := map[string]naiveOrg{}
	for k, o := range s.Config().Organisations {
		got[k] = naiveOrg{weight: o.Weight, version: o.Version}
	}
	require.Equal(t, orgs, got)
}

func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{whole: New(), other: New()}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
