package stream

import (
	"testing"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
)

// FuzzRecord delivers arbitrary bytes, since any client of the platform's log can append to it.
func FuzzRecord(f *testing.F) {
	f.Add(mustEncode(newPendingRecord(&wire.Record{Id: "a"})).data)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		require.True(t, s.deliver(port.Record{Offset: 1, Data: data}))
		require.Equal(t, uint64(2), s.Next(), "a record that cannot be decoded is skipped")
	})
}
