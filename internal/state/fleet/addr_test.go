package fleet

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckAddr guards against calls to addresses that mean another process, or none.
func TestCheckAddr(t *testing.T) {
	for text, isCallable := range map[string]bool{
		"10.0.0.1:1": true, "127.0.0.1:65535": true, "[2001:db8::1]:80": true, "[::ffff:10.0.0.1]:80": true, "[fe80::1]:80": true,
		"10.0.0.1:0": false, "0.0.0.0:80": false, "[::]:80": false, "[::ffff:0.0.0.0]:80": false, "224.0.0.1:80": false,
		"[ff02::1]:80": false, "[::ffff:224.0.0.1]:80": false, "[fe80::1%eth0]:80": false,
	} {
		err := CheckAddr(netip.MustParseAddrPort(text))
		if isCallable {
			require.NoError(t, err, text)
		} else {
			require.ErrorIs(t, err, ErrNotCallable, text)
		}
	}
	require.ErrorIs(t, CheckAddr(netip.AddrPort{}), ErrNotCallable)
}
