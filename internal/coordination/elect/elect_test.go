package elect

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// overtaken is a store in which another writer appends a record before each append but the first, until isOver.
type overtaken struct {
	values [][]byte
	isOver func() bool
}

func (s *overtaken) append(_ context.Context, a port.Append) (port.Appended, error) {
	if len(s.values) > 0 && (s.isOver == nil || !s.isOver()) {
		s.values = append(s.values, []byte("\xff"))
		return port.Appended{}, port.ErrConflict
	}
	s.values = append(s.values, a.Entries[0].Value)
	return port.Appended{End: int64(len(s.values))}, nil
}

func (s *overtaken) read(_ context.Context, _ port.Topic, from int64, wait time.Duration) (port.Entries, error) {
	if from == int64(len(s.values)) {
		time.Sleep(wait)
	}
	p := port.Entries{End: int64(len(s.values))}
	for o := from; o < p.End; o++ {
		p.Entries = append(p.Entries, port.Entry{Value: s.values[o], Offset: o})
	}
	return p, nil
}

// TestRecordOfAnotherWriterConfirmsNoRenewal guards against an owner that takes the record in the place of its renewal for the renewal:
// the leases that it grants from then on outlast what the next owner waits for.
func TestRecordOfAnotherWriterConfirmsNoRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &overtaken{}
		e := New(port.Store{Append: s.append, Read: s.read}, "a", "1", netip.MustParseAddrPort("10.0.0.1:1"), clock.System(), slog.New(slog.DiscardHandler))
		require.NoError(t, e.step(t.Context()))
		require.NoError(t, e.step(t.Context()))
		require.True(t, e.IsOwner())
		claimed := e.LastRenewal()
		for range 5 {
			time.Sleep(time.Second)
			require.NoError(t, e.step(t.Context()))
		}
		require.True(t, e.IsOwner())
		require.Equal(t, claimed, e.LastRenewal())
		require.Equal(t, int64(6), e.nextOffset)
	})
}

// TestReleaseFollowsRecordOfAnotherWriter guards against a host that leaves and whose release has no place in the topic, so that
// the others wait for its renewals.
func TestReleaseFollowsRecordOfAnotherWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &overtaken{}
		e := New(port.Store{Append: s.append, Read: s.read}, "a", "1", netip.MustParseAddrPort("10.0.0.1:1"), clock.System(), slog.New(slog.DiscardHandler))
		require.NoError(t, e.step(t.Context()))
		require.NoError(t, e.step(t.Context()))
		s.isOver = func() bool { return len(s.values) >= 3 }
		require.NoError(t, e.Leave(t.Context()))
		require.False(t, e.IsOwner())
		require.Len(t, s.values, 4)
	})
}
