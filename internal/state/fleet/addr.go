package fleet

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// ErrNotCallable reports an address at which no process can be called.
var ErrNotCallable = errors.New("no address to call")

// CheckAddr returns nil if a process can be called at the address: it names one interface, by the same bytes on every machine,
// and a port.
func CheckAddr(a netip.AddrPort) error {
	ip := a.Addr().Unmap()
	isOfOneInterface := ip.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
	if !isOfOneInterface || a.Port() == 0 {
		return fmt.Errorf("%s: %w", a, ErrNotCallable)
	}
	return nil
}
