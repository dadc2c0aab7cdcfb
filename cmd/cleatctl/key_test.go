package main

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeyClear(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("ann a-key-of-enough-length\n"), 0o600))
	for _, x := range []struct {
		name, reply string
		status      int
		code        int
		want        string
	}{
		{"cleared", `{"Domain":"east","Operator":"ann","At":"2030-01-01T00:00:00Z"}`, http.StatusOK, exitOK, "claims of east: cleared by ann"},
		{"marker holds", `{"Code":"NothingMissing","Next":"see key status"}`, http.StatusConflict, exitFailed, "next: see key status"},
		{"not an operator", `{"Code":"NoKey","Holds":"nothing was changed"}`, http.StatusUnauthorized, exitFailed, "nothing was changed"},
		{"lost answer", `{"Code":"Unknown"}`, http.StatusGatewayTimeout, exitUnknown, "repeat the command with --id c1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			code, out, errs := runCommand(t, "key", "clear", "--domain", "east", "--reason", "r", "--id", "c1",
				"--operator", serve(t, respond(x.status, x.reply)), "--key-file", key, "--timeout", "300ms")
			require.Equal(t, x.code, code, out+errs)
			require.Contains(t, out+errs, x.want)
		})
	}
	code, _, errs := runCommand(t, "key", "clear", "--domain", "east")
	require.Equal(t, exitUsage, code)
	require.Contains(t, errs, "REASON is required")
}

func TestKeyStatus(t *testing.T) {
	args := []string{"key", "status"}
	for _, v := range []string{
		`{"Domain":"east","Host":"east-1","Complete":true}`,
		`{"Domain":"east","Host":"east-2","Owner":true,"Since":"2030-01-01T00:00:00Z","Why":"0 of the 3 hosts answer"}`,
		`{"Domain":"west","Host":"west-1","Since":"2030-01-01T00:00:00Z","Why":"not read"}`,
		`{"Domain":"west","Host":"west-2","Complete":true}`,
	} {
		args = append(args, "--status", serve(t, respond(http.StatusOK, v)))
	}
	code, out, errs := runCommand(t, append(args, "--status", unusedAddr(t))...)
	require.Equal(t, exitOK, code, errs)
	require.Regexp(t, `east +missing +2030-01-01.* +east-2 +0 of the 3 hosts answer`, out)
	require.Regexp(t, `west +complete +west-2`, out)
	require.NotContains(t, out, "west-1")
	require.Contains(t, errs, "not reached")
}
