package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// servePolicy serves a policy whose log is kept in memory, and returns the flags to reach it; appends return *fault if it is set.
// A command that has ended may leave an attempt that is still being served, which reads fault.
func servePolicy(t *testing.T, fault *atomic.Pointer[error]) (*policy.Policy, []string) {
	var p *policy.Policy
	p = policy.New(policy.WithAppend(func(_ context.Context, r *wire.Record) (uint64, error) {
		if err := fault.Load(); err != nil {
			return 0, *err
		}
		offset := p.State().Next()
		p.Fold(offset, time.Now(), r)
		return offset, nil
	}, func(err error) bool { return errors.Is(err, stream.ErrLogDown) }))
	p.State().MarkReadFromStart()
	keys := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(keys, []byte("ann a-key-of-enough-length\n"), 0o600))
	s := &oper.Server{Policy: p, Keys: oper.NewKeys(keys)}
	return p, []string{"--operator", serve(t, s.Handler()), "--key-file", keys, "--timeout", "2s"}
}

func TestOperatorCommands(t *testing.T) {
	var fault atomic.Pointer[error]
	p, flags := servePolicy(t, &fault)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	org := write("registry.ini", "[Organisation]\nName = registry\nWeight = 2\n")
	one := write("audits.ini", "[Profile]\nName = audits\nUrgency = Quiet\nWaitBound = 8h\nNotice = 2h\n")
	two := write("audits2.ini", "[Profile]\nName = audits\nUrgency = Quiet\nWaitBound = 9h\nNotice = 2h\n")
	bad := write("bad.ini", "[Profile]\nName = bad\nColour = red\n")
	why := []string{"--reason", "a reason that is long enough to be cut off in every table of this program"}
	from, until := "2030-01-01T00:00:00Z", "2030-01-01T02:00:00Z"
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"organisation", "set", org, why[0], why[1]}, exitOK, "Organisation registry: accepted at version 1"},
		{[]string{"organisation", "list"}, exitOK, "registry"},
		{[]string{"profile", "publish", one, why[0], why[1], "--id", "p1"}, exitOK, "Profile audits: accepted at version 2"},
		{[]string{"profile", "publish", one, why[0], why[1], "--id", "p1"}, exitOK, "accepted at version 2"},
		{[]string{"profile", "publish", one, why[0], why[1]}, exitFailed, "stands at version 2, by ann"},
		{[]string{"profile", "publish", bad, why[0], why[1]}, exitUsage, "[Profile] Colour: key is not known"},
		{[]string{"profile", "publish", one}, exitUsage, "REASON is required"},
		{[]string{"profile", "diff", two}, exitOK, "8h0m0s  9h0m0s"},
		{[]string{"profile", "revise", two, why[0], why[1], "--id", "r1"}, exitOK, "accepted at version 4"},
		{[]string{"profile", "revise", two, why[0], why[1], "--id", "r1"}, exitOK, "accepted at version 4"},
		{[]string{"profile", "revise", one, why[0], why[1], "--base", "2"}, exitFailed, "next: look at what differs"},
		{[]string{"profile", "revise", one, why[0], why[1], "--from", from}, exitOK, "planned from 2030-01-01"},
		{[]string{"profile", "list"}, exitOK, "planned from 2030-01-01"},
		{[]string{"profile", "show", "audits"}, exitOK, `"WaitBound": "9h0m0s"`},
		{[]string{"profile", "show", "none"}, exitFailed, "NotExist"},
		{[]string{"profile", "history", "audits"}, exitOK, "refused"},
		{[]string{"profile", "diff", "audits", "2", "4"}, exitOK, "WaitBound"},
		{[]string{"profile", "diff", "audits", "2", "99"}, exitFailed, "no history"},
		{[]string{
			"stop", "announce", "power", "--kind", "Rack", "--domain", "north-quay", "--target", "rack-7",
			"--from", from, "--until", until, why[0], why[1],
		}, exitOK, "Stop power: accepted"},
		{[]string{"stop", "announce", "power", "--kind", "Shelf", "--domain", "d", "--from", from, "--until", until, why[0], why[1]}, exitUsage, "Shelf"},
		{[]string{"stop", "list"}, exitOK, "rack-7"},
		{[]string{"stop", "show", "power"}, exitOK, `"Target": "rack-7"`},
		{[]string{"stop", "cancel", "power", why[0], why[1], "--id", "c1"}, exitOK, "removed"},
		{[]string{"stop", "cancel", "power", why[0], why[1], "--id", "c1"}, exitOK, "removed"},
		{[]string{"stop", "cancel", "power", why[0], why[1]}, exitFailed, "not announced"},
		{[]string{"profile", "retire", "audits", why[0], why[1], "--id", "x1"}, exitOK, "removed"},
		{[]string{"profile", "retire", "audits", why[0], why[1], "--id", "x1"}, exitOK, "removed"},
		{[]string{"notice", "list"}, exitOK, ""},
		{[]string{"notice", "ack", "none", why[0], why[1]}, exitFailed, "NotExist"},
		{[]string{"config", "status"}, exitOK, "newest"},
		{[]string{"profile", "list", "--json"}, exitOK, `"Profiles": []`},
	}
	for _, x := range steps {
		t.Run(strings.Join(x.args[:2], " "), func(t *testing.T) {
			code, out, errs := runCommand(t, append(x.args, flags...)...)
			require.Equal(t, x.code, code, out+errs)
			require.Contains(t, out+errs, x.want)
			for l := range strings.Lines(out) {
				require.LessOrEqual(t, len(l), 101, l)
			}
		})
	}
	require.Empty(t, p.Config().Profiles)
	fault.Store(&stream.ErrOutcomeUnknown)
	code, _, errs := runCommand(t, append([]string{"profile", "publish", one, why[0], why[1]}, flags...)...)
	require.Equal(t, exitUnknown, code)
	require.Contains(t, errs, "repeat the command with --id")
	fault.Store(&stream.ErrLogDown)
	code, _, errs = runCommand(t, append([]string{"profile", "publish", one, why[0], why[1]}, flags...)...)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errs, "nothing was changed")
	code, _, _ = runCommand(t, "profile", "list")
	require.Equal(t, exitUsage, code)
}

func TestNoticeCommands(t *testing.T) {
	var fault atomic.Pointer[error]
	p, flags := servePolicy(t, &fault)
	n := config.Notice{
		ID: "n1", Organisation: "registry", Profile: "audits", Domain: "north-quay", Slower: 2.5, Why: "rack-7 stops",
		From: time.Now(), Until: time.Now().Add(time.Hour),
	}
	b, err := json.Marshal(n)
	require.NoError(t, err)
	w := &wire.NoticeChange{Id: "n1", Action: config.NoticeIssue, Json: b}
	p.Fold(1, time.Now(), &wire.Record{Id: "x", Body: &wire.Record_Notice{Notice: w}})
	_, out, _ := runCommand(t, append([]string{"notice", "list", "--open"}, flags...)...)
	require.Contains(t, out, "2.5 times slower")
	for range 2 {
		code, out, errs := runCommand(t, append([]string{"notice", "ack", "n1", "--reason", "called"}, flags...)...)
		require.Equal(t, exitOK, code, errs)
		require.Contains(t, out, "confirmed by ann")
	}
	_, out, _ = runCommand(t, append([]string{"notice", "list", "--open"}, flags...)...)
	require.Empty(t, out)
}
