package tests

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	exitFailed   = 1
	exitBadUsage = 2
	exitTimeout  = 10 * time.Second
)

func TestBadSettingsAreListedAndNothingListens(t *testing.T) {
	f := newFleet(t, domain{"east", 1})
	path := filepath.Join(f.dir, "bad.ini")
	ip := f.hosts["east-1"].ip.String()
	text := "[Host]\nName = east-1\nDomain = nowhere\nDomains = east, west\n" +
		"[Listen]\nPeer = " + ip + ":7101\nCaller = " + ip + ":7102\nOperator = localhost:7103\nStatus = " + ip + ":7104\n" +
		"[Platform]\nLog = " + ip + ":7000\n[Membership]\nSuspect = 100ms\n[Nowhere]\nKey = 1\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p := f.run("bad", "auburncleatd", "--settings", path)
	// The addresses are reserved for this test, so any listener there belongs to the process.
	for p.isRunning() {
		for port := peerPort; port <= statusPort; port++ {
			require.False(t, isListening(f.hosts["east-1"].ip, port), "port %d", port)
		}
	}
	require.Equal(t, exitBadUsage, f.wait(p, exitTimeout), p.output())
	for _, fault := range []string{
		`[Host] Domain: "nowhere" is not among`,
		`[Listen] Operator: "localhost:7103" is not an IP address`,
		"[Platform] Hosts: is missing",
		"[Membership] Suspect: 100ms is below two heartbeats",
		"[Nowhere]: is not a section",
	} {
		require.Contains(t, p.output(), fault)
	}
	require.NotContains(t, p.output(), "goroutine")
}

func TestMissingSettingsAreBadUsage(t *testing.T) {
	f := newFleet(t, domain{"east", 1})
	p := f.run("none", "auburncleatd")
	require.Equal(t, exitBadUsage, f.wait(p, exitTimeout), p.output())
	p = f.run("absent", "auburncleatd", "--settings", filepath.Join(f.dir, "absent.ini"))
	require.Equal(t, exitBadUsage, f.wait(p, exitTimeout), p.output())
	require.Contains(t, p.output(), "absent.ini")
}

func TestAddressInUseIsNamedByItsSetting(t *testing.T) {
	tests := []struct {
		port int
		want string
	}{
		{peerPort, "[Listen] Peer"},
		{callerPort, "[Listen] Caller"},
		{operatorPort, "[Listen] Operator"},
		{statusPort, "[Listen] Status"},
	}
	for _, x := range tests {
		t.Run(x.want, func(t *testing.T) {
			f := newFleet(t, domain{"east", 1})
			a := f.hostAddr("east-1", x.port)
			l, err := net.Listen("tcp", a.String())
			require.NoError(t, err)
			defer l.Close()
			p := f.startHost("east-1")
			require.Equal(t, exitFailed, f.wait(p, exitTimeout), p.output())
			require.Contains(t, p.output(), x.want)
			require.Contains(t, p.output(), a.String())
			require.Contains(t, p.output(), "address already in use")
		})
	}
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func isListening(ip netip.Addr, port int) bool {
	c, err := net.Dial("tcp", netip.AddrPortFrom(ip, uint16(port)).String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
