package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/ini.v1"
)

const sampleFile = "../../docs/auburncleatd.ini"

const requiredSettings = `
[Host]
Name = north-quay-1
Domain = north-quay
Domains = north-quay, south-beach, port-hall
[Listen]
Peer = 127.10.1.1:7101
Caller = 127.10.1.1:7102
Operator = 127.10.1.1:7103
Status = 127.10.1.1:7104
[Peers]
Seeds = north-quay-2@north-quay@127.10.1.2:7101, south-beach-1@south-beach@127.10.2.1:7101
[Platform]
Log = 127.10.9.1:7000
Hosts = 127.10.9.1:7000
`

func TestSampleEqualsDefaults(t *testing.T) {
	got, err := Load(sampleFile)
	require.NoError(t, err)
	want, err := Parse([]byte(requiredSettings))
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestSampleListsEveryKey(t *testing.T) {
	_, known, err := load(sampleFile, sampleFile)
	require.NoError(t, err)
	f, err := ini.Load(sampleFile)
	require.NoError(t, err)
	for s, keys := range known {
		require.ElementsMatch(t, keys, f.Section(s).KeyStrings(), s)
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse([]byte(`
Early = 1
[Host]
Domain = west
Domains = north, south, north
[Listen]
Peer = localhost:7101
Caller = 127.0.0.1:7102
Operator = 127.0.0.1:7102
Status = 0.0.0.0:7104
[Peers]
Seeds = a@127.0.0.1:1, b@east@127.0.0.1:2, c@north@nowhere
[Platform]
Log = 127.0.0.1:7000
Host = 127.0.0.1:7000
[Membership]
Heartbeat = 1s
Suspect = 900ms
Remove = soon
[Owner]
Lease = 500ms
Lease = 600ms
[Worker]
Connections = -1
[Queue]
Bytes = 3XB
[Plan]
FragmentationWeight = NaN
[Log]
Level = loud
[Nowhere]
Key = 1
`))
	var e *ErrFaults
	require.True(t, errors.As(err, &e))
	want := []string{
		"[] Early: is set before",
		"[Host] Name: is missing",
		"[Host] Domain: \"west\" is not among",
		"[Host] Domains: contains a failure domain more than once",
		"[Listen] Peer: \"localhost:7101\" is not an IP address",
		"[Listen] Operator: 127.0.0.1:7102 is also the address of Caller",
		"[Listen] Status: \"0.0.0.0:7104\" is not a specific address",
		"[Peers] Seeds: \"a@127.0.0.1:1\" is not name@domain@ip:port",
		"[Peers] Seeds: \"nowhere\" is not an IP address",
		"[Peers] Seeds: failure domain \"east\" of b",
		"[Platform] Hosts: is missing",
		"[Platform] Host: is not a setting",
		"[Membership] Suspect: 900ms is below two heartbeats",
		"[Membership] Remove: \"soon\" is not a duration",
		"[Owner] Lease: is set more than once",
		"[Owner] Lease: 500ms is not above the heartbeat",
		"[Worker] Connections: -1 is not between",
		"[Queue] Bytes: \"3XB\": memory is not a number with KB",
		"[Plan] FragmentationWeight: \"NaN\" is not a number",
		"[Log] Level: \"loud\" is not one of",
		"[Nowhere]: is not a section",
	}
	require.Len(t, e.Faults, len(want), err.Error())
	for _, w := range want {
		require.Contains(t, err.Error(), w)
	}
}

func TestOwnerLeaseStaysBelowSuspect(t *testing.T) {
	_, err := Parse([]byte(requiredSettings + "[Owner]\nLease = 900ms\n"))
	require.ErrorContains(t, err, "[Owner] Lease: 900ms is not below [Membership] Suspect, 900ms")
}

func TestLoadErrorNamesMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	_, err := Load(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.Contains(t, err.Error(), path)
}

func FuzzParse(f *testing.F) {
	b, err := os.ReadFile(sampleFile)
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte(requiredSettings))
	f.Add([]byte("[Host]\nName = \"\"\"x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil {
			require.NotEmpty(t, strings.TrimSpace(s.Host.Name))
			require.True(t, s.Listen.Peer.IsValid())
		}
	})
}
