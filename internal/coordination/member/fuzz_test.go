package member

import (
	"context"
	"net/netip"
	"testing"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// FuzzHeartbeat feeds arbitrary messages to the handlers of heartbeats and digests.
func FuzzHeartbeat(f *testing.F) {
	h := &wire.Heartbeat{From: &wire.Member{Name: "y", Domain: "north", Addr: "10.0.0.2:1"}, WantListing: true, Owner: true}
	data, err := proto.Marshal(h)
	require.NoError(f, err)
	f.Add(data)
	d := &wire.Digest{Domain: "south", Members: []*wire.Member{{Name: "s", Addr: "not an address"}}}
	data, err = proto.Marshal(d)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(WithSelf("x", "north", netip.MustParseAddrPort("10.0.0.1:1")))
		var h wire.Heartbeat
		if proto.Unmarshal(data, &h) == nil {
			require.NoError(t, m.Heartbeat(context.Background(), &h, &wire.HeartbeatReply{}))
		}
		var d wire.Digest
		if proto.Unmarshal(data, &d) == nil {
			require.NoError(t, m.Digest(context.Background(), &d, &wire.DigestReply{}))
		}
		for _, o := range m.Live("north") {
			require.NotEmpty(t, o.Name)
		}
	})
}
