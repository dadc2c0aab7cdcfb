package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var testStart = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func mustJSON(t require.TestingT, v any) []byte {
	b, err := json.Marshal(v)
	require.NoError(t, err)
	return b
}

func testProfile(name string, wait time.Duration) Profile {
	return Profile{
		Name:         name,
		Urgency:      Normal,
		WaitBound:    wait,
		Stoppable:    true,
		ReclaimBound: 30 * time.Second,
		RunTime:      time.Hour,
		Notice:       2 * time.Hour,
	}
}

func orgItem(t require.TestingT, name string, weight int, version uint64) Item {
	b := mustJSON(t, Organisation{Name: name, Weight: weight})
	return Item{Kind: KindOrganisation, Name: name, Version: version, JSON: b}
}

func profileItem(t require.TestingT, p Profile, version uint64) Item {
	return Item{Kind: KindProfile, Name: p.Name, Version: version, JSON: mustJSON(t, p)}
}

func change(id, operator string, items ...Item) *wire.Record {
	return NewRecord(Change{ID: id, Operator: operator, Reason: "test", Items: items})
}

func at(offset uint64) time.Time {
	return testStart.Add(time.Duration(offset) * time.Second)
}

func fold(s *State, first uint64, rs ...*wire.Record) {
	for i, r := range rs {
		s.Fold(first+uint64(i), at(first+uint64(i)), r)
	}
}

func TestFoldFirstWins(t *testing.T) {
	s := New()
	fold(s, 1,
		change("a", "ann", profileItem(t, testProfile("audits", time.Minute), 0)),
		change("b", "bob", profileItem(t, testProfile("audits", 2*time.Minute), 1)),
		change("c", "cyd", profileItem(t, testProfile("audits", 3*time.Minute), 1)),
		change("b", "bob", profileItem(t, testProfile("audits", 2*time.Minute), 1)),
	)
	p := s.Config().Profiles["audits"]
	require.Equal(t, 2*time.Minute, p.WaitBound)
	require.Equal(t, uint64(2), p.Version)
	lost, ok := s.GetChange("c")
	require.True(t, ok)
	var e ErrVersionConflict
	require.ErrorAs(t, lost.Err(), &e)
	require.Equal(t, ErrVersionConflict{Kind: KindProfile, Name: "audits", Want: 1, Have: 2, By: "bob"}, e)
	won, _ := s.GetChange("b")
	require.NoError(t, won.Err())
	require.Equal(t, uint64(2), won.Offset)
	require.Len(t, s.FindHistory(HistoryFilter{}), 3)
}

func TestFoldAllOrNothing(t *testing.T) {
	var alarms []Alarm
	s := New(WithAlarmFunc(func(a Alarm) { alarms = append(alarms, a) }))
	bad := testProfile("bad", time.Minute)
	bad.Organisations = []string{"nobody"}
	fold(s, 1, change("a", "ann", orgItem(t, "registry", 3, 0), profileItem(t, bad, 0)))
	require.Empty(t, s.Config().Organisations)
	require.Empty(t, s.Config().Profiles)
	require.Len(t, alarms, 1)
	require.Equal(t, AlarmSkipped, alarms[0].Cause)
	require.Contains(t, alarms[0].Text, `organisation "nobody" is not known`)
}

func TestFoldSkipsMalformed(t *testing.T) {
	for name, r := range map[string]*wire.Record{
		"json":     change("x", "ann", Item{Kind: KindProfile, Name: "p", JSON: []byte("{")}),
		"kind":     change("x", "ann", Item{Kind: "Rack", Name: "p", JSON: []byte("{}")}),
		"name":     change("x", "ann", Item{Kind: KindOrganisation, Name: "p", JSON: []byte(`{"Name":"q","Weight":1}`)}),
		"operator": change("x", "", orgItem(t, "p", 1, 0)),
		"twice":    change("x", "ann", orgItem(t, "p", 1, 0), orgItem(t, "p", 2, 0)),
		"empty":    change("x", "ann"),
		"remove":   change("x", "ann", Item{Kind: KindProfile, Name: "p", Remove: true}),
		"action":   {Id: "x", Body: &wire.Record_Notice{Notice: &wire.NoticeChange{Id: "n", Action: "Shout"}}},
		"notice":   {Id: "x", Body: &wire.Record_Notice{Notice: &wire.NoticeChange{Id: "n", Action: NoticeIssue, Json: []byte("[")}}},
		"snapshot": {Id: "x", Body: &wire.Record_Snapshot{Snapshot: &wire.ConfigSnapshot{Offset: 1, Data: []byte("no")}}},
	} {
		t.Run(name, func(t *testing.T) {
			var alarms []Alarm
			s := New(WithAlarmFunc(func(a Alarm) { alarms = append(alarms, a) }))
			fold(s, 1, r, change("y", "ann", orgItem(t, "registry", 3, 0)))
			require.Len(t, alarms, 1)
			require.Len(t, s.Config().Organisations, 1)
			require.Empty(t, s.Config().Profiles)
		})
	}
}

// TestFoldNeverReverts checks that neither an old record nor an old snapshot changes the configuration. The last run
// disables the offset check, to show that the test detects its absence.
func TestFoldNeverReverts(t *testing.T) {
	run := func(s *State) error {
		old := change("a", "ann", orgItem(t, "registry", 1, 0))
		fold(s, 1, old, change("b", "bob", orgItem(t, "registry", 2, 1)))
		o := New()
		fold(o, 1, old)
		w, err := o.Snapshot()
		require.NoError(t, err)
		err = s.Load(w)
		s.Fold(1, at(1), old)
		if got := s.Config().Organisations["registry"].Weight; got != 2 {
			return fmt.Errorf("weight is back at %d", got)
		}
		return err
	}
	var e ErrStaleSnapshot
	require.ErrorAs(t, run(New()), &e)
	require.Equal(t, ErrStaleSnapshot{Have: 3, Got: 2}, e)
	unchecked := New()
	unchecked.acceptsOlder = true
	require.ErrorContains(t, run(unchecked), "weight is back at 1")
}

func TestFoldExpiredRecords(t *testing.T) {
	whole := New()
	rs := []*wire.Record{
		change("a", "ann", orgItem(t, "registry", 1, 0)),
		change("b", "ann", orgItem(t, "audits", 1, 0)),
		change("c", "bob", orgItem(t, "registry", 5, 1)),
	}
	fold(whole, 1, rs...)
	w, err := whole.Snapshot()
	require.NoError(t, err)
	late := change("d", "cyd", orgItem(t, "registry", 6, 3))
	snapshot := &wire.Record{Id: "s", Body: &wire.Record_Snapshot{Snapshot: w}}
	fold(whole, 4, late, snapshot)

	var alarms []Alarm
	s := New(WithAlarmFunc(func(a Alarm) { alarms = append(alarms, a) }))
	require.Error(t, s.Ready())
	s.ObserveRange(LogRange{From: 1, First: 3, Next: 6})
	fold(s, 3, rs[2], late)
	var e ErrIncomplete
	require.ErrorAs(t, s.Ready(), &e)
	require.Equal(t, ErrIncomplete{From: 1, To: 3}, e)
	require.Empty(t, s.Config().Organisations, "must not fold onto an incomplete base")
	_, err = s.Snapshot()
	require.ErrorAs(t, err, &e, "an incomplete host must not pass its state on")

	s.Fold(5, at(5), snapshot)
	require.NoError(t, s.Ready())
	require.Equal(t, whole.Config(), s.Config())
	require.Equal(t, whole.FindHistory(HistoryFilter{}), s.FindHistory(HistoryFilter{}))
	require.Equal(t, AlarmGap, alarms[0].Cause)
	require.Equal(t, uint64(5), s.NewestSnapshot().Offset)
}

func TestFoldGapFilledByPeer(t *testing.T) {
	s := New()
	s.ObserveRange(LogRange{From: 1, First: 2, Next: 3})
	s.Fold(2, at(2), change("b", "ann", orgItem(t, "registry", 2, 1)))
	require.Error(t, s.Ready())
	s.Fold(1, at(1), change("a", "ann", orgItem(t, "registry", 1, 0)))
	require.NoError(t, s.Ready())
	require.Equal(t, 2, s.Config().Organisations["registry"].Weight)
}

func TestFoldTruncatedLog(t *testing.T) {
	var alarms []Alarm
	s := New(WithAlarmFunc(func(a Alarm) { alarms = append(alarms, a) }))
	fold(s, 1,
		change("a", "ann", orgItem(t, "registry", 1, 0)),
		change("b", "ann", orgItem(t, "registry", 2, 1)),
		change("c", "ann", orgItem(t, "registry", 3, 2)),
	)
	s.ObserveRange(LogRange{From: 4, First: 1, Next: 2})
	require.True(t, s.IsTruncated())
	require.Equal(t, 3, s.Config().Organisations["registry"].Weight)
	require.Equal(t, AlarmTruncated, alarms[0].Cause)

	w, err := s.Snapshot()
	require.NoError(t, err)
	fresh := New()
	fold(fresh, 1,
		change("a", "ann", orgItem(t, "registry", 1, 0)),
		&wire.Record{Id: "s", Body: &wire.Record_Snapshot{Snapshot: w}},
	)
	require.Equal(t, s.Config(), fresh.Config())
	s.ObserveRange(LogRange{From: 4, First: 1, Next: 9})
	require.False(t, s.IsTruncated())
}

func TestFoldSnapshotDiffers(t *testing.T) {
	var alarms []Alarm
	s := New(WithAlarmFunc(func(a Alarm) { alarms = append(alarms, a) }))
	o := New()
	fold(s, 1, change("a", "ann", orgItem(t, "registry", 1, 0)))
	fold(o, 1, change("a", "ann", orgItem(t, "registry", 2, 0)))
	w, err := o.Snapshot()
	require.NoError(t, err)
	s.Fold(2, at(2), &wire.Record{Body: &wire.Record_Snapshot{Snapshot: w}})
	require.Len(t, alarms, 1)
	require.Equal(t, AlarmSnapshot, alarms[0].Cause)
	require.Equal(t, 1, s.Config().Organisations["registry"].Weight)
}

func TestFoldNotice(t *testing.T) {
	s := New()
	n := Notice{ID: "n1", Profile: "audits", From: at(100), Until: at(200), Slower: 2, Why: "stop"}
	r, err := NewNoticeRecord(n)
	require.NoError(t, err)
	fold(s, 1, r, r, NewAckRecord("k", "n1", "ann", "called"), NewAckRecord("l", "n1", "bob", "called"))
	got := s.Config().Notices["n1"]
	require.Equal(t, at(1), got.Issued)
	require.Equal(t, at(3), got.Acked)
	require.Equal(t, "ann", got.AckedBy)
	w, err := s.Snapshot()
	require.NoError(t, err)
	restarted := New()
	require.NoError(t, restarted.Load(w))
	require.Equal(t, s.Config(), restarted.Config())
	fold(s, 5, NewWithdrawRecord("n1", "cancelled"))
	require.Empty(t, s.Config().Notices)
}

func TestProfileJSON(t *testing.T) {
	p := testProfile("urgent", 3600*time.Millisecond)
	p.Organisations = []string{"registry"}
	p.Guarantees = []Guarantee{{
		Organisation: "registry",
		Domain:       "north-quay",
		Gangs:        2,
		Shape:        fleet.Shape{Tasks: 8, Accelerators: 1, Memory: fleet.Gigabyte, Adjacent: fleet.LevelRack},
	}}
	b := mustJSON(t, p)
	require.Contains(t, string(b), `"WaitBound":"3.6s"`)
	require.Contains(t, string(b), `"MemoryBytes":1073741824`)
	var got Profile
	require.NoError(t, json.Unmarshal(b, &got))
	require.Equal(t, p, got)
	require.NoError(t, CheckKeys(KindProfile, b))
	require.ErrorContains(t, CheckKeys(KindProfile, []byte(`{"Title":"x"}`)), `unknown field "Title"`)
}

func TestConfigCheck(t *testing.T) {
	g := Guarantee{Organisation: "registry", Domain: "d", Gangs: 3, Shape: fleet.Shape{Tasks: 4, Accelerators: 2, Adjacent: fleet.LevelRack}}
	p := testProfile("audits", time.Minute)
	p.Guarantees = []Guarantee{g}
	c := newConfig()
	c.Profiles["audits"] = p
	c.Organisations["registry"] = Organisation{Name: "registry", Weight: 1, Accelerators: 23}
	require.ErrorContains(t, c.Check(), "24 accelerators exceed its quota of 23")
	c.Organisations["registry"] = Organisation{Name: "registry", Weight: 1, Accelerators: 24}
	require.NoError(t, c.Check())
	p.Name = ""
	p.Urgency = "Soon"
	p.WaitBound = -1
	var e ErrInvalid
	require.True(t, errors.As(p.Check(), &e))
	require.Len(t, e.Problems, 3)
}

func TestFoldPlannedChange(t *testing.T) {
	planned := func(id string, from time.Time, items ...Item) *wire.Record {
		return NewRecord(Change{ID: id, Operator: "ann", Reason: "later", From: from, Items: items})
	}
	apply := func(id string) *wire.Record {
		return NewRecord(Change{ID: "apply/" + id, Operator: "ann", Reason: "later", Apply: id})
	}
	s := New()
	fold(s, 1,
		change("a", "ann", orgItem(t, "registry", 1, 0)),
		planned("b", at(100), orgItem(t, "registry", 2, 1)),
		planned("c", at(100), orgItem(t, "registry", 3, 1)),
		planned("d", at(100), orgItem(t, "registry", 4, 1)),
		planned("late", at(2), orgItem(t, "audits", 4, 0)),
		change("undo", "bob", Item{Kind: KindPlanned, Name: "d", Version: 4, Remove: true}),
	)
	require.Equal(t, 1, s.Config().Organisations["registry"].Weight)
	require.Equal(t, 4, s.Config().Organisations["audits"].Weight, "a time that has passed means at once")
	require.Len(t, s.Config().Planned, 2)
	w, err := s.Snapshot()
	require.NoError(t, err)
	restarted := New()
	require.NoError(t, restarted.Load(w))
	require.Equal(t, s.Config(), restarted.Config())
	for _, x := range []*State{s, restarted} {
		fold(x, 7, apply("b"), apply("b"), apply("c"), apply("d"))
		require.Equal(t, Organisation{Name: "registry", Weight: 2, Version: 7}, x.Config().Organisations["registry"])
		require.Empty(t, x.Config().Planned)
		for id, isAccepted := range map[string]bool{"b": true, "apply/b": true, "apply/c": false, "apply/d": false} {
			c, ok := x.GetChange(id)
			require.True(t, ok)
			require.Equal(t, isAccepted, c.IsAccepted(), id)
		}
	}
}
