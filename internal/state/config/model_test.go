package config

import (
	"fmt"
	"testing"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// referenceModel is a plain implementation of the fold, which replays the whole log for every query.
type referenceModel struct {
	log []*wire.Record
}

type modelOrganisation struct {
	weight  int
	version uint64
}

func (n referenceModel) replay() (map[string]modelOrganisation, map[string]string) {
	orgs := map[string]modelOrganisation{}
	verdicts := map[string]string{}
	for i, r := range n.log {
		c := r.GetConfig()
		if _, ok := verdicts[r.GetId()]; ok || c == nil {
			continue
		}
		verdict := "accepted"
		next := map[string]modelOrganisation{}
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
			next[name] = modelOrganisation{weight: weight, version: uint64(i + 1)}
		}
		verdicts[r.GetId()] = verdict
		if verdict == "accepted" {
			orgs = next
		}
	}
	return orgs, verdicts
}

// foldMachine runs a state that receives every record beside one that restarts, lags behind, misses expired records and
// loads snapshots of the first; both must agree with the reference model.
type foldMachine struct {
	model    referenceModel
	ids      int
	complete *State
	lagging  *State
	read     int
	first    int
}

func (m *foldMachine) append(r *wire.Record) {
	m.model.log = append(m.model.log, r)
	o := uint64(len(m.model.log))
	m.complete.Fold(o, at(o), r)
}

func (m *foldMachine) Publish(t *rapid.T) {
	orgs, _ := m.model.replay()
	var items []Item
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID).Draw(t, "names") {
		v := orgs[name].version
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			v = uint64(rapid.IntRange(0, len(m.model.log)).Draw(t, "version"))
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

func (m *foldMachine) Repeat(t *rapid.T) {
	if len(m.model.log) == 0 {
		t.Skip("nothing to repeat")
	}
	m.append(rapid.SampledFrom(m.model.log).Draw(t, "record"))
}

func (m *foldMachine) WriteSnapshot(t *rapid.T) {
	if len(m.model.log) == 0 {
		t.Skip("nothing to keep")
	}
	w, err := m.complete.Snapshot()
	require.NoError(t, err)
	w = proto.Clone(w).(*wire.ConfigSnapshot)
	m.append(&wire.Record{Id: fmt.Sprint("s", len(m.model.log)), Body: &wire.Record_Snapshot{Snapshot: w}})
	m.first = len(m.model.log) - 1
}

func (m *foldMachine) Read(t *rapid.T) {
	if m.read < m.first {
		m.read = m.first
	}
	m.lagging.ObserveRange(LogRange{From: uint64(m.read + 1), First: uint64(m.first + 1), Next: uint64(len(m.model.log) + 1)})
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		if m.read < len(m.model.log) {
			m.read++
			m.lagging.Fold(uint64(m.read), at(uint64(m.read)), m.model.log[m.read-1])
		}
	}
}

func (m *foldMachine) Restart(*rapid.T) {
	m.lagging = New()
	m.read = m.first
}

func (m *foldMachine) LoadPeerSnapshot(t *rapid.T) {
	if len(m.model.log) == 0 {
		t.Skip("peer knows nothing")
	}
	w, err := m.complete.Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.lagging.Load(w))
}

func (m *foldMachine) FoldDuplicate(t *rapid.T) {
	if m.read > 0 {
		o := uint64(rapid.IntRange(1, m.read).Draw(t, "offset"))
		if o > uint64(m.first) {
			m.lagging.Fold(o, at(o), m.model.log[o-1])
		}
	}
}

func (m *foldMachine) Check(t *rapid.T) {
	orgs, verdicts := m.model.replay()
	requireModel(t, m.complete, orgs)
	for id, want := range verdicts {
		c, ok := m.complete.GetChange(id)
		require.True(t, ok)
		got := "accepted"
		if c.Conflict != nil {
			got = "conflict"
		} else if len(c.Problems) > 0 {
			got = "invalid"
		}
		require.Equal(t, want, got, id)
	}
	if m.lagging.Ready() == nil {
		n := referenceModel{log: m.model.log[:m.lagging.Next()-1]}
		orgs, _ = n.replay()
		requireModel(t, m.lagging, orgs)
	}
}

func requireModel(t require.TestingT, s *State, orgs map[string]modelOrganisation) {
	got := map[string]modelOrganisation{}
	for k, o := range s.Config().Organisations {
		got[k] = modelOrganisation{weight: o.Weight, version: o.Version}
	}
	require.Equal(t, orgs, got)
}

func TestFoldMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &foldMachine{complete: New(), lagging: New()}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
