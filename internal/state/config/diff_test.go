package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDiff(t *testing.T) {
	p, q := testProfile("audits", time.Minute), testProfile("audits", 2*time.Minute)
	p.Version, q.Version = 3, 4
	q.Guarantees = []Guarantee{{Organisation: "o"}}
	d, err := Diff(mustJSON(t, p), mustJSON(t, q))
	require.NoError(t, err)
	require.Contains(t, d, Difference{Key: "WaitBound", Old: "1m0s", New: "2m0s"})
	require.Contains(t, d, Difference{Key: "Guarantees.1.Organisation", New: "o"})
	for _, x := range d {
		require.NotEqual(t, "Version", x.Key)
	}
	d, err = Diff(nil, []byte(`{"A":1}`))
	require.NoError(t, err)
	require.Equal(t, []Difference{{Key: "A", New: "1"}}, d)
	_, err = Diff([]byte("{"), nil)
	require.Error(t, err)
}
