package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConfigCheckOfQueues checks that a configuration of queues gets an exit code by its findings, and that faults name their field.
func TestConfigCheckOfQueues(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		p := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(p, []byte(content), 0o600))
		return p
	}
	valid := `{"version":7,"routes":[{"name":"a","hostname":"h","path_prefix":"/a/","service":"s","max_attempts":4}]}`
	code, out, _ := runCommand(t, "config", "check", write("valid.json", valid))
	require.Equal(t, exitOK, code, out)

	next := write("next.json", `{"version":8,"routes":[{"name":"a","hostname":"h","path_prefix":"a","service":"s","max_attempts":2}]}`)
	code, out, errs := runCommand(t, "config", "check", next, "--in-force", filepath.Join(dir, "valid.json"))
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "error: routes[0].path_prefix")
	require.Contains(t, out, "MaxAttempts")
	require.Contains(t, errs, "1 errors")

	code, _, _ = runCommand(t, "config", "check", write("same.json", valid), "--in-force", filepath.Join(dir, "valid.json"))
	require.Equal(t, exitFailed, code, "a version that is not newer is taken by no host")
	code, _, _ = runCommand(t, "config", "check", filepath.Join(dir, "none.json"))
	require.Equal(t, exitUsage, code)
	code, _, _ = runCommand(t, "config", "check", write("broken.json", `{"version":"x"}`))
	require.Equal(t, exitFailed, code)
}
