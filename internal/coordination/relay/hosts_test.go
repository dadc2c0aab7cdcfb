package relay

import (
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// TestOddRecordNamesNoHost guards against calls to what another writer has put on the list of hosts, and against a host that such a
// record takes off the list.
func TestOddRecordNamesNoHost(t *testing.T) {
	record := func(domain, addr string) []byte {
		b, err := proto.Marshal(&wire.HostRecord{Domain: domain, Addr: addr})
		require.NoError(t, err)
		return b
	}
	valid := record("d", "10.0.0.2:1")
	for name, odd := range map[string][]byte{
		"bytes": []byte("\xff\xff"), "text": []byte("{}"), "no address": record("d", ""), "host name": record("d", "b.example:1"),
		"port zero": record("d", "10.0.0.9:0"), "port out of range": record("d", "10.0.0.9:65536"), "unspecified": record("d", "0.0.0.0:1"),
		"multicast": record("d", "224.0.0.1:1"), "zone": record("d", "[fe80::1%eth0]:1"), "long": record("d", strings.Repeat("1", 100_000)),
	} {
		t.Run(name, func(t *testing.T) {
			var logs strings.Builder
			h := NewHosts(port.Store{}, Host{Name: "a"}, clock.System(), slog.New(slog.NewTextHandler(&logs, nil)))
			h.reload([]port.Entry{{Key: "b", Value: valid}, {Key: "odd", Value: odd}}, 2)
			h.apply(port.Entry{Key: "b", Value: odd, Offset: 2})
			require.Equal(t, []Host{{Name: "b", Domain: "d", Addr: netip.MustParseAddrPort("10.0.0.2:1")}}, h.FindOthers())
			h.reload([]port.Entry{{Key: "b", Value: odd}}, 3)
			require.Len(t, h.FindOthers(), 1)
			require.Less(t, logs.Len(), 2000)
			h.reload(nil, 4)
			require.Empty(t, h.FindOthers())
		})
	}
}
