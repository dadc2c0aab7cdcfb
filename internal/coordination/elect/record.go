package elect

import (
	"fmt"
	"net/netip"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

var errNoHost = errors.New("record names no host or no lifetime")

// record is a claim, renewal or release of the ownership by a host.
type record struct {
	*wire.LeadRecord
	addr netip.AddrPort
}

// decodeRecord returns the record of a host, or why no host wrote the value. All hosts skip the same values, so that they agree on the
// owner.
func decodeRecord(b []byte) (record, error) {
	var m wire.LeadRecord
	if err := proto.Unmarshal(b, &m); err != nil {
		return record{}, fmt.Errorf("decode record: %w", err)
	}
	if m.GetHost() == "" || m.GetLifetime() == "" {
		return record{}, errNoHost
	}
	a, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return record{}, fmt.Errorf("parse address of host: %w", err)
	}
	if err := fleet.CheckAddr(a); err != nil {
		return record{}, fmt.Errorf("check address of host: %w", err)
	}
	return record{LeadRecord: &m, addr: a}, nil
}
