package learn

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestRunTime guards against estimates that follow declared run times which do not match the actual ones.
func TestRunTime(t *testing.T) {
	k := Kind{"Fees", "Batch"}
	cases := map[string]struct {
		declared []time.Duration
		took     []time.Duration
		ask      time.Duration
		want     time.Duration
	}{
		"too few samples":                     {[]time.Duration{time.Minute}, []time.Duration{time.Hour}, time.Minute, time.Minute},
		"all declare a tenth of the run time": {minutes(1, 2, 3, 4, 5), minutes(10, 20, 30, 40, 50), 2 * time.Minute, 20 * time.Minute},
		"declared times do not correlate":     {minutes(1, 100, 10, 1, 100), minutes(10, 10, 10, 11, 10), time.Minute, 11 * time.Minute},
		"nothing declared, by run time":       {minutes(0, 0, 0, 0, 0), minutes(5, 5, 5, 5, 6), 0, 6 * time.Minute},
		"correct declarations are kept":       {minutes(1, 2, 3, 4, 5), minutes(1, 2, 3, 4, 5), 7 * time.Minute, 7 * time.Minute},
		"old samples leave the window of 64":  {append(minutes(1), repeated(1, 64)...), append(minutes(60), repeated(2, 64)...), time.Minute, 2 * time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := New()
			for i := range c.took {
				b.Ran(k, c.declared[i], c.took[i])
			}
			require.Equal(t, c.want, b.RunTime(k, c.ask))
			require.Equal(t, c.ask, b.RunTime(Kind{"Press", "Batch"}, c.ask))
		})
	}
}

// TestMemoryNeverBelowDeclared guards against under-reservation: jobs that use less than they declared do not lower the
// estimate, and jobs that use more raise it.
func TestMemoryNeverBelowDeclared(t *testing.T) {
	k := Kind{"Fees", "Batch"}
	b := New()
	for range minSamples {
		b.Used(k, fleet.Gigabyte, fleet.Gigabyte/2)
	}
	require.Equal(t, fleet.Gigabyte, b.Memory(k, fleet.Gigabyte))
	for range maxSamples {
		b.Used(k, fleet.Gigabyte, 2*fleet.Gigabyte)
	}
	require.Equal(t, 6*fleet.Gigabyte, b.Memory(k, 3*fleet.Gigabyte))
}

func minutes(ms ...int) []time.Duration {
	var out []time.Duration
	for _, m := range ms {
		out = append(out, time.Duration(m)*time.Minute)
	}
	return out
}

func repeated(m, n int) []time.Duration {
	var out []time.Duration
	for range n {
		out = append(out, time.Duration(m)*time.Minute)
	}
	return out
}
