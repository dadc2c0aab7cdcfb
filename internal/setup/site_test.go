package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

const validSiteSettings = `[Host]
Name = north-quay-1
Domain = north-quay
[Listen]
Caller = 127.0.0.1:1
Ready = 127.0.0.1:2
Status = 127.0.0.1:3
Peer = 127.0.0.1:4
[Store]
Addr = 127.0.0.1:5
[Bounds]
MaxHold = 10000ms
[Limits]
Memory = 284MB
[Log]
Format = json
`

func loadSite(t *testing.T, content string) (*Site, error) {
	t.Helper()
	p := filepath.Join(t.TempDir(), "site.ini")
	require.NoError(t, os.WriteFile(p, []byte(content), 0o600))
	return LoadSite(p)
}

func TestSiteSettings(t *testing.T) {
	s, err := loadSite(t, validSiteSettings)
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, s.Bounds.MaxHold)
	require.Equal(t, 5*time.Second, s.Bounds.Revoke)
}

// TestLoadSiteReportsAllFaults checks that faults of all kinds are reported at once.
func TestLoadSiteReportsAllFaults(t *testing.T) {
	invalid := strings.NewReplacer("Name = north-quay-1\n", "", "127.0.0.1:2", "somewhere", "10000ms", "soon", "284MB", "-1").Replace(validSiteSettings) +
		"[Nonsense]\nKey = 1\n"
	_, err := loadSite(t, invalid)
	var f *ErrFaults
	require.ErrorAs(t, err, &f)
	require.Len(t, f.Faults, 5)
}

// TestDeployedTemplateHasOnlyKnownKeys loads the deployed template with example values.
func TestDeployedTemplateHasOnlyKnownKeys(t *testing.T) {
	b, err := os.ReadFile("../../deploy/auburncleatd.ini")
	require.NoError(t, err)
	x := strings.NewReplacer(
		"{{node_name}}", "n", "{{zone}}", "z", "{{listen_addrs.front}}", "127.0.0.1:1", "{{listen_addrs.ready}}", "127.0.0.1:2",
		"{{ip}}", "127.0.0.1", "{{internal_ports.0}}", "7000", "{{internal_ports.1}}", "7015", "{{platform.address}}", "127.0.0.1:5",
		"{{bounds.grace_s}}", "6", "{{bounds.status_s}}", "120", "{{limits.memory_mb}}", "284", "{{limits.cpu_share}}", "0.4",
	).Replace(string(b))
	for strings.Contains(x, "{{") {
		i := strings.Index(x, "{{")
		j := strings.Index(x, "}}")
		x = x[:i] + "2500" + x[j+2:]
	}
	_, err = loadSite(t, x)
	require.NoError(t, err)
}

// TestDisabledMechanismsAreChecked checks that mechanisms are switched off by name, and that an unknown name is a fault.
func TestDisabledMechanismsAreChecked(t *testing.T) {
	s, err := loadSite(t, validSiteSettings+"[Plan]\nDisable = Headroom, LossBounds\n")
	require.NoError(t, err)
	require.Equal(t, []plan.Mechanism{plan.Headroom, plan.LossBounds}, s.Plan.Disable)
	_, err = loadSite(t, validSiteSettings+"[Plan]\nDisable = Luck\n")
	require.ErrorContains(t, err, `"Luck"`)
	s, err = loadSite(t, validSiteSettings)
	require.NoError(t, err)
	require.Empty(t, s.Plan.Disable)
}

// TestOptionalMechanismsAreOffByDefault checks that just the optional mechanisms can be switched on, and none is by default.
func TestOptionalMechanismsAreOffByDefault(t *testing.T) {
	s, err := loadSite(t, validSiteSettings+"[Plan]\nEnable = Speeds\n")
	require.NoError(t, err)
	require.Equal(t, []plan.Mechanism{plan.Speeds}, s.Plan.Enable)
	_, err = loadSite(t, validSiteSettings+"[Plan]\nEnable = Headroom\n")
	require.ErrorContains(t, err, `"Headroom"`)
	s, err = loadSite(t, validSiteSettings)
	require.NoError(t, err)
	require.Empty(t, s.Plan.Enable)
}
