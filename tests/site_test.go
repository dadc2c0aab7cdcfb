package tests

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// submitJob submits a job to the first host and returns the HTTP status.
func (s *soakSite) submitJob(j *soakJob) int {
	body, err := json.Marshal(map[string]any{"spec": j.spec(), "steps": j.steps})
	require.NoError(s.t, err)
	return s.call(s.hosts[0], soakRequest{http.MethodPost, j.queue, j.id, s.key(j.org), body, 0}).status
}

// TestSiteReloadsItsSettings checks that settings are reloaded on SIGHUP and when the file changes, and that invalid
// settings are rejected and leave the old ones in force.
func TestSiteReloadsItsSettings(t *testing.T) {
	p := newSoakPlan(1, 1, 1, 20*time.Second)
	for _, j := range p.jobs {
		j.steps, j.isPoison = []soakStep{{Count: 1, CPU: 64, Estimated: 1000}}, false
	}
	s := newSoakSite(t, p)
	h := s.hosts[0]
	s.eventually(readyTimeout, "readiness", func() bool { return s.isReady(h) })
	s.writeSettings(h, "MaxOpenJobs = 1\n")
	s.signalHost(h, syscall.SIGHUP)
	s.eventually(exitTimeout, "reload", func() bool { return s.countLogs("settings reloaded") == 1 })
	require.Equal(t, http.StatusOK, s.submitJob(p.jobs[0]))
	require.Equal(t, http.StatusServiceUnavailable, s.submitJob(p.jobs[1]))

	s.writeSettings(h, "MaxOpenJobs = none\n")
	s.eventually(exitTimeout, "rejection of invalid settings", func() bool { return s.countLogs("settings not reloaded") == 1 })
	s.eventually(outcomeTimeout, "end of the first job", func() bool { return s.submitJob(p.jobs[2]) == http.StatusOK })
	require.Equal(t, http.StatusServiceUnavailable, s.submitJob(p.jobs[3]))

	s.writeSettings(h, "")
	s.eventually(exitTimeout, "reload without a signal", func() bool { return s.countLogs("settings reloaded") == 2 })
	require.Equal(t, http.StatusOK, s.submitJob(p.jobs[3]))
	require.Empty(t, s.violations)
}

// TestOperatorCommandsShowTheSite checks that cleatctl lists hosts, workers and the time line of a site.
func TestOperatorCommandsShowTheSite(t *testing.T) {
	p := newSoakPlan(1, 3, 4, 20*time.Second)
	j := p.jobs[0]
	j.steps, j.isPoison = []soakStep{{Count: 2, CPU: 1, GPUs: 1, Estimated: 1000, Gang: true}}, false
	s := newSoakSite(t, p)
	for _, h := range s.hosts {
		s.eventually(readyTimeout, "readiness", func() bool { return s.isReady(h) })
	}
	require.Equal(t, http.StatusOK, s.submitJob(j))
	s.eventually(outcomeTimeout, "end of the job", func() bool {
		state, _ := s.state(s.hosts[2], j)
		return state == "completed"
	})
	s.eventually(exitTimeout, "list of hosts", func() bool { return strings.Count(s.cleatctl("hosts"), "Ready") == 3 })
	require.Equal(t, 4, strings.Count(s.cleatctl("workers"), "Ready"))
	line := s.cleatctl("timeline", "--job", j.id)
	for _, want := range []string{"JobAccepted", "JobPlaced", "JobDone"} {
		require.Contains(t, line, want)
	}
	require.Contains(t, s.cleatctl("timeline"), "OwnerChanged")
}

// cleatctl runs a command of cleatctl against all hosts and returns its output.
func (s *soakSite) cleatctl(args ...string) string {
	var at []string
	for _, h := range s.hosts {
		at = append(at, netip.AddrPortFrom(h.ip, statusPort).String())
	}
	x := exec.Command(filepath.Join(binDir, "cleatctl"), args...)
	x.Env = append(os.Environ(), "CLEATCTL_STATUS="+strings.Join(at, ","))
	b, err := x.CombinedOutput()
	require.NoError(s.t, err, "%s", b)
	return string(b)
}

// countLogs returns the number of log lines of the first host with a message.
func (s *soakSite) countLogs(message string) int {
	return strings.Count(s.process(s.hosts[0].name).output(), `"msg":"`+message+`"`)
}
