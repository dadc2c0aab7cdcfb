package client

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Job":"j","Outcome":{"Kind":"Done","AnswerBytes":1,"AnswerDigest":7}}`))
	f.Add([]byte(`{"Job":"j","Status":{"State":"Queued","Workers":["a"]},"Outcome":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		v := decode(b)
		_ = newStatus(v.Status)
		o := newOutcome(v.Job, v.Outcome)
		require.Equal(t, o.Kind == Done, o.Err() == nil)
		require.Equal(t, o.Kind == Refused, IsRefused(o.Err()))
	})
}
