package queue

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/stretchr/testify/require"
)

// validDraft returns a configuration without findings.
func validDraft() *Draft {
	return &Draft{
		Config: &Config{
			Version: 7,
			Queues: []Queue{
				{Name: "urgent", Host: "h", Prefix: "/u/", Service: "s", Urgency: config.Urgent, MaxAttempts: 4, Stretch: 1.5, Objective: time.Second},
				{Name: "quiet", Host: "h", Prefix: "/q/", Service: "s", Urgency: config.Quiet, MaxAttempts: 4, Stretch: 3, Objective: time.Second},
			},
			Organisations: []Organisation{{Name: "a", Accelerators: 8}, {Name: "b", Accelerators: 8}},
		},
		Keys: [][]string{{"k1"}, {"k2", "k3"}},
	}
}

// TestCheckFindsFaultsBeforeTheyAreSent names for each fault the field that an operator has to correct.
func TestCheckFindsFaultsBeforeTheyAreSent(t *testing.T) {
	tests := map[string]struct {
		change  func(d *Draft)
		place   Place
		isError bool
	}{
		"same name":             {func(d *Draft) { d.Config.Queues[1].Name = "urgent" }, Place{KindQueue, 1, "Name", 0}, true},
		"same address":          {func(d *Draft) { d.Config.Queues[1].Prefix = "/u/" }, Place{KindQueue, 1, "Prefix", 0}, true},
		"hidden by a slash":     {func(d *Draft) { d.Config.Queues[1].Prefix = "/u" }, Place{KindQueue, 1, "Prefix", 0}, false},
		"prefix without slash":  {func(d *Draft) { d.Config.Queues[1].Prefix = "q" }, Place{KindQueue, 1, "Prefix", 0}, true},
		"no service":            {func(d *Draft) { d.Config.Queues[0].Service = "" }, Place{KindQueue, 0, "Service", 0}, true},
		"no limit of attempts":  {func(d *Draft) { d.Config.Queues[0].MaxAttempts = 0 }, Place{KindQueue, 0, "MaxAttempts", 0}, false},
		"target below the work": {func(d *Draft) { d.Config.Queues[0].Stretch = 0.5 }, Place{KindQueue, 0, "Stretch", 0}, false},
		"same organisation":     {func(d *Draft) { d.Config.Organisations[1].Name = "a" }, Place{KindOrganisation, 1, "Name", 0}, true},
		"key twice":             {func(d *Draft) { d.Keys[1][1] = "k1" }, Place{KindOrganisation, 1, "Keys", 1}, true},
		"empty key":             {func(d *Draft) { d.Keys[1][0] = "" }, Place{KindOrganisation, 1, "Keys", 0}, true},
		"no key":                {func(d *Draft) { d.Keys[0] = nil }, Place{KindOrganisation, 0, "Keys", 0}, false},
		"guarantees too large":  {func(d *Draft) { d.Config.Organisations[1].Accelerators = 9 }, Place{KindOrganisation, 1, "Accelerators", 0}, true},
	}
	require.Empty(t, Check(validDraft(), CheckOptions{Accelerators: 16}))
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			d := validDraft()
			x.change(d)
			fs := Check(d, CheckOptions{Accelerators: 16})
			require.Len(t, fs, 1, "%v", fs)
			require.Equal(t, x.place, fs[0].Place)
			require.Equal(t, x.isError, fs[0].IsError)
		})
	}
}

// TestDiffNamesEffects checks that each changed field, and just that, is listed, and that no key is shown.
func TestDiffNamesEffects(t *testing.T) {
	next := validDraft()
	require.Empty(t, Diff(validDraft(), next))
	next.Config.Queues[0].MaxAttempts = 2
	next.Config.Queues[1].Name = "night"
	next.Keys[1] = []string{"k2", "k4"}
	next.Config.Organisations[0].Accelerators = 4
	var got []string
	for _, c := range Diff(validDraft(), next) {
		got = append(got, c.Name+" "+c.Field+" "+c.Old+" "+c.New)
	}
	require.Equal(t, []string{"urgent MaxAttempts 4 2", "quiet  h/q/ ", "night   h/q/", "a Accelerators 8 4", "b Keys 2 2"}, got)
}
