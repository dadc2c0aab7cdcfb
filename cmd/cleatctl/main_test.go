package main

import (
	"bytes"
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
)

// call runs the program and returns its exit code and both outputs.
func call(t *testing.T, args ...string) (int, string, string) {
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

func say(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// closed returns an address on which nothing listens.
func closed(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
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
		{"help", []string{"--help"}, exitDone, "Exit codes"},
		{"help of a command has examples", []string{"job", "submit", "--help"}, exitDone, "Examples:"},
		{"version", []string{"--version"}, exitDone, "cleatctl "},
		{"build", []string{"version", "--json"}, exitDone, `"Go": "go1.`},
		{"no command", nil, exitUsage, "name a sub-command"},
		{"no sub-command", []string{"job"}, exitUsage, "name a sub-command"},
		{"unknown flag", []string{"hosts", "--nonsense"}, exitUsage, "nonsense"},
		{"host is no IP number", append(submit, "localhost:1"), exitUsage, "localhost"},
		{"no host", []string{"job", "show", "j"}, exitUsage, "--host"},
		{"accepted", append(submit, serve(t, say(202, `{"Job":"n.r1"}`))), exitDone, "n.r1"},
		{"refused", append(submit, serve(t, say(422, `{"Outcome":{"Kind":"Refused","Reason":"too big"}}`))), exitRefused, "too big"},
		{"unknown", append(submit, serve(t, say(504, `{"Outcome":{"Kind":"Unknown","Reason":"no reply"}}`))), exitUnknown, "may have run"},
		{"nothing listens", append(submit, closed(t)), exitRefused, "did not run"},
		{"faults of settings", []string{"config", "check", bad}, exitRefused, "[Listen] Peer: is missing"},
		{"sample settings", []string{"config", "check", "../../docs/auburncleatd.ini"}, exitDone, "ok, host north-quay-1"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			code, out, errs := call(t, x.args...)
			require.Equal(t, x.code, code, out+errs)
			require.Contains(t, out+errs, x.out)
		})
	}
}

func host(name, domain string, owner bool, kinds ...events.Kind) http.Handler {
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

func TestTimelineWorksWithHostsUnreachable(t *testing.T) {
	a := serve(t, host("a1", "a", true, events.JobAccepted, events.JobDone))
	b := serve(t, host("b1", "b", false, events.OwnerChanged))
	gone := closed(t)
	all := []string{"timeline", "--status", a, "--status", b, "--status", gone}
	code, out, errs := call(t, all...)
	require.Equal(t, exitDone, code)
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 3)
	require.Contains(t, errs, "not reached: "+gone)

	code, out, _ = call(t, append(all, "--json")...)
	require.Equal(t, exitDone, code)
	es, err := events.ReadJSON(strings.NewReader(out))
	require.NoError(t, err)
	require.Len(t, es, 3)

	path := filepath.Join(t.TempDir(), "t.svg")
	code, _, _ = call(t, append(all, "--picture", path)...)
	require.Equal(t, exitDone, code)
	p, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(p), "<title>"))

	code, _, errs = call(t, "timeline", "--status", gone)
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "no status address answered")
}

func TestHostsNameOwnerAndReadiness(t *testing.T) {
	a := serve(t, host("a1", "a", true))
	b := serve(t, host("b1", "b", false))
	code, out, _ := call(t, "hosts", "--status", a, "--status", b, "--owner", "a")
	require.Equal(t, exitDone, code)
	require.Equal(t, "a1\n", out)
	code, _, errs := call(t, "hosts", "--status", a, "--status", b, "--owner", "b")
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "no host is known to own")
	code, _, _ = call(t, "hosts", "--status", a, "--status", b, "--ready", "2")
	require.Equal(t, exitDone, code)
	code, _, errs = call(t, "hosts", "--status", a, "--ready", "2", "--timeout", "300ms")
	require.Equal(t, exitUnknown, code)
	require.Contains(t, errs, "1 of 2 hosts are ready")
}

func TestWorkersTakeTheHighestTerm(t *testing.T) {
	row := func(term, state string) http.Handler {
		return say(200, `{"Term":{"Counter":`+term+`},"Workers":[{"Name":"w1","Domain":"a","Rack":"r","State":"`+state+`"}]}`)
	}
	code, out, _ := call(t, "workers", "--status", serve(t, row("2", "Ready")), "--status", serve(t, row("1", "Lost")))
	require.Equal(t, exitDone, code)
	require.Contains(t, out, "Ready")
	require.NotContains(t, out, "Lost")
}
