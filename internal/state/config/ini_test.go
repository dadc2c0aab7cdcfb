package config

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func TestParseProfile(t *testing.T) {
	b, err := os.ReadFile("testdata/registration.ini")
	require.NoError(t, err)
	p, err := ParseProfile(b)
	require.NoError(t, err)
	require.Equal(t, Profile{
		Name:          "registration",
		Urgency:       Urgent,
		WaitBound:     3600 * time.Millisecond,
		Organisations: []string{"registry", "inspectors"},
		Once:          true,
		RunTime:       90 * time.Second,
		Notice:        24 * time.Hour,
		Guarantees: []Guarantee{
			{
				Organisation: "registry",
				Domain:       "north-quay",
				Gangs:        4,
				Shape: fleet.Shape{
					Tasks: 8, Accelerators: 1, Processors: 8, Memory: 32 * fleet.Gigabyte, Adjacent: fleet.LevelRack,
				},
			},
			{
				Organisation: "inspectors",
				Domain:       "south-beach",
				Gangs:        1,
				Shape:        fleet.Shape{Tasks: 2, Accelerators: 4, Memory: fleet.Gigabyte, Adjacent: fleet.LevelDomain},
			},
		},
	}, p)
}

func TestParseProfileListsAllProblems(t *testing.T) {
	_, err := ParseProfile([]byte(`
[Profile]
Name = audits
Urgency = Quiet
WaitBound = soon
Once = perhaps
Colour = red
[Guarantee.x]
Organisation = registry
Gangs = few
Memory = 3 stones
[Extra]
A = 1
`))
	var e ErrInvalid
	require.ErrorAs(t, err, &e)
	require.Equal(t, []string{
		`[Profile] WaitBound: "soon" is not a duration such as 3.6s or 2h`,
		`[Profile] Once: "perhaps" is not true or false`,
		`[Profile] Colour: key is not known; the keys are Name, Urgency, WaitBound, Organisations, Once, Stoppable, ReclaimBound, RunTime, Notice`,
		`[Guarantee.x] Domain: is missing`,
		`[Guarantee.x] Gangs: "few" is not a whole number`,
		`[Guarantee.x] Memory: "3 stones": memory is not a number with KB, MB, GB or TB`,
		`[Extra]: section is not known; the sections are Profile and Guarantee.NAME`,
	}, e.Problems)
}

func TestParseOrganisation(t *testing.T) {
	o, err := ParseOrganisation([]byte("[Organisation]\nName = registry\nWeight = 3\nAccelerators = 64\n"))
	require.NoError(t, err)
	require.Equal(t, Organisation{Name: "registry", Weight: 3, Accelerators: 64}, o)
	_, err = ParseOrganisation([]byte("[Organisation]\nName = registry\nShare = 3\nWeight = x\n"))
	var e ErrInvalid
	require.ErrorAs(t, err, &e)
	require.Len(t, e.Problems, 2)
}

func FuzzParseProfile(f *testing.F) {
	b, err := os.ReadFile("testdata/registration.ini")
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte("[Profile]\nName = a\nUrgency = Quiet\nWaitBound = 1s\n[Guarantee.\n"))
	f.Add([]byte("[Organisation]\nName = o\n"))
	f.Add([]byte("\xef\xbb\xbf[Profile]\nName = \"\"\"\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = ParseOrganisation(b)
		p, err := ParseProfile(b)
		if err != nil {
			return
		}
		require.NoError(t, p.Check())
		j, err := json.Marshal(p)
		require.NoError(t, err)
		var q Profile
		require.NoError(t, json.Unmarshal(j, &q))
		require.Equal(t, p, q)
	})
}

func FuzzFoldRecord(f *testing.F) {
	seeds := []*wire.Record{
		change("a", "ann", profileItem(f, testProfile("audits", time.Minute), 0)),
		change("b", "ann", Item{Kind: KindStop, Name: "s", JSON: []byte(`{"Name":"s"}`)}),
		NewAckRecord("c", "n", "ann", "called"),
	}
	for _, r := range seeds {
		b, err := proto.Marshal(r)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r wire.Record
		if proto.Unmarshal(b, &r) != nil {
			return
		}
		x, y := New(), New()
		fold(x, 1, change("o", "ann", orgItem(t, "registry", 1, 0)))
		fold(y, 1, change("o", "ann", orgItem(t, "registry", 1, 0)))
		fold(x, 2, &r)
		fold(y, 2, &r, &r)
		c, d := x.Config(), y.Config()
		require.NoError(t, c.Check())
		c.Offset, d.Offset = 0, 0
		require.True(t, isSameConfig(c, d), "a repeat changed the configuration")
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	s := New()
	fold(s, 1, change("a", "ann", profileItem(f, testProfile("audits", time.Minute), 0)))
	w, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(w.GetData())
	b, err := encodeSnapshot(snapshotJSON{})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		x := New()
		if x.Load(&wire.ConfigSnapshot{Offset: 9, Data: b}) == nil {
			x.Fold(9, at(9), change("b", "bob", orgItem(t, "registry", 1, 0)))
			require.Equal(t, uint64(10), x.Next())
		}
	})
}
