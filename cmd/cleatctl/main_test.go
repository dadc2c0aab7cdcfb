package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// runCommand runs the program and returns its exit code, standard output and standard error.
func runCommand(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func respond(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// unusedAddr returns an address on which nothing listens, and which no other process can take until the test ends.
func unusedAddr(t *testing.T) string {
	t.Helper()
	f, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(f) })
	require.NoError(t, unix.Bind(f, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	a, err := unix.Getsockname(f)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", a.(*unix.SockaddrInet4).Port)
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[Host]\nName = x\n"), 0o600))
	submit := []string{"job", "submit", "--organisation", "o", "--profile", "p", "--timeout", "1s", "--host"}
	tests := []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"help", []string{"--help"}, exitOK, "Exit codes"},
		{"help of a command has examples", []string{"job", "submit", "--help"}, exitOK, "Examples:"},
		{"version", []string{"--version"}, exitOK, "cleatctl "},
		{"build", []string{"version", "--json"}, exitOK, `"Go": "go1.`},
		{"no command", nil, exitUsage, "name a sub-command"},
		{"no sub-command", []string{"job"}, exitUsage, "name a sub-command"},
		{"unknown flag", []string{"hosts", "--nonsense"}, exitUsage, "nonsense"},
		{"host is not an IP address", append(submit, "localhost:1"), exitUsage, "localhost"},
		{"no host", []string{"job", "show", "j"}, exitUsage, "--host"},
		{"accepted", append(submit, serve(t, respond(202, `{"Job":"n.r1"}`))), exitOK, "n.r1"},
		{"refused", append(submit, serve(t, respond(422, `{"Outcome":{"Kind":"Refused","Reason":"too big"}}`))), exitFailed, "too big"},
		{"unknown", append(submit, serve(t, respond(504, `{"Outcome":{"Kind":"Unknown","Reason":"no reply"}}`))), exitUnknown, "may have run"},
		{"nothing listens", append(submit, unusedAddr(t)), exitFailed, "did not run"},
		{"invalid settings", []string{"config", "check", bad}, exitFailed, "[Listen] Peer: is missing"},
		{"sample settings", []string{"config", "check", "../../docs/auburncleatd.ini"}, exitOK, "ok, host north-quay-1"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			code, out, errs := runCommand(t, x.args...)
			require.Equal(t, x.code, code, out+errs)
			require.Contains(t, out+errs, x.out)
		})
	}
}

// hostHandler serves the status of one host with an event of each kind.
func hostHandler(name, domain string, owner bool, kinds ...events.Kind) http.Handler {
	r := events.NewRing(name, 100, events.NewClock(time.Now))
	for _, k := range kinds {
		r.Add(events.Event{Kind: k, Organisation: "registry"})
	}
	s := &status.Server{
		Ready:  func() string { return "" },
		Events: r,
		Name:   name,
		Hosts: func() []status.HostView {
			return []status.HostView{{Name: name, Domain: domain, Owner: owner, LastHeard: time.Now()}}
		},
	}
	return s.Handler()
}

func TestTimelineToleratesUnreachableHosts(t *testing.T) {
	a := serve(t, hostHandler("a1", "a", true, events.JobAccepted, events.JobDone))
	b := serve(t, hostHandler("b1", "b", false, events.OwnerChanged))
	gone := unusedAddr(t)
	all := []string{"timeline", "--status", a, "--status", b, "--status", gone}
	code, out, errs := runCommand(t, all...)
	require.Equal(t, exitOK, code)
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 3)
	require.Contains(t, errs, "not reached: "+gone)

	code, out, _ = runCommand(t, append(all, "--json")...)
	require.Equal(t, exitOK, code)
	es, err := events.ReadJSON(strings.NewReader(out))
	require.NoError(t, err)
	require.Len(t, es, 3)

	path := filepath.Join(t.TempDir(), "t.svg")
	code, _, _ = runCommand(t, append(all, "--picture", path)...)
	require.Equal(t, exitOK, code)
	p, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(p), "<title>"))

	code, _, errs = runCommand(t, "timeline", "--status", gone)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errs, "no status address answered")
}

func TestHostsOwnerAndReady(t *testing.T) {
	a := serve(t, hostHandler("a1", "a", true))
	b := serve(t, hostHandler("b1", "b", false))
	code, out, _ := runCommand(t, "hosts", "--status", a, "--status", b, "--owner", "a")
	require.Equal(t, exitOK, code)
	require.Equal(t, "a1\n", out)
	code, _, errs := runCommand(t, "hosts", "--status", a, "--status", b, "--owner", "b")
	require.Equal(t, exitFailed, code)
	require.Contains(t, errs, "no host is known to own")
	code, _, _ = runCommand(t, "hosts", "--status", a, "--status", b, "--ready", "2")
	require.Equal(t, exitOK, code)
	code, _, errs = runCommand(t, "hosts", "--status", a, "--ready", "2", "--timeout", "300ms")
	require.Equal(t, exitUnknown, code)
	require.Contains(t, errs, "1 of 2 hosts are ready")
}

// TestEvacuationsMergeHosts guards against an evacuation that shows no work because one of the hosts does not reach the owner.
func TestEvacuationsMergeHosts(t *testing.T) {
	lone := respond(200, `{"Evacuations":[{"Domain":"a","Since":"2026-12-06T10:00:00Z"}],"Why":"no host owns the jobs"}`)
	other := respond(200, `{"Evacuations":[{"Domain":"a","Since":"2026-12-06T10:00:07Z","Workers":117,"Tasks":30,"Accelerators":88}]}`)
	code, out, errs := runCommand(t, "evacuations", "--json", "--status", serve(t, other), "--status", serve(t, lone))
	require.Equal(t, exitOK, code)
	require.Contains(t, errs, "no host owns the jobs")
	for _, want := range []string{"10:00:00Z", "117", "30", "88"} {
		require.Contains(t, out, want)
	}
}

func TestWorkersPreferHighestTerm(t *testing.T) {
	row := func(term, state string) http.Handler {
		return respond(200, `{"Term":{"Counter":`+term+`},"Workers":[{"Name":"w1","Domain":"a","Rack":"r","State":"`+state+`"}]}`)
	}
	code, out, _ := runCommand(t, "workers", "--status", serve(t, row("2", "Ready")), "--status", serve(t, row("1", "Lost")))
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "Ready")
	require.NotContains(t, out, "Lost")
}
