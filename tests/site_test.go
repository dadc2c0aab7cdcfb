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

// submitPlain hands a job of one task in at the only host and returns the status.
func (s *soakSite) submitPlain(j *soakJob) int {
	body, err := json.Marshal(map[string]any{"spec": j.spec(), "steps": j.steps})
	require.NoError(s.t, err)
	return s.call(s.hosts[0], soakCall{http.MethodPost, j.queue, j.id, s.key(j.org), body}).status
}

// TestSiteReloadsItsSettings lowers a limit by SIGHUP, raises it by the file alone, and leaves faulty settings aside.
func TestSiteReloadsItsSettings(t *testing.T) {
	p := newSoakPlan(1, 1, 1, 20*time.Second)
	for _, j := range p.jobs {
		j.steps, j.isPoison = []soakStep{{Count: 1, CPU: 64, Estimated: 1000}}, false
	}
	s := newSoakSite(t, p)
	h := s.hosts[0]
	s.eventually(readyBound, "readiness", func() bool { return s.isReady(h) })
	s.writeSettings(h, "MaxOpenJobs = 1\n")
	s.signalHost(h, syscall.SIGHUP)
	s.eventually(exitBound, "reload", func() bool { return s.logs("settings reloaded") == 1 })
	require.Equal(t, http.StatusOK, s.submitPlain(p.jobs[0]))
	require.Equal(t, http.StatusServiceUnavailable, s.submitPlain(p.jobs[1]))

	s.writeSettings(h, "MaxOpenJobs = none\n")
	s.eventually(exitBound, "refusal of faulty settings", func() bool { return s.logs("settings not reloaded") == 1 })
	s.eventually(outcomeBound, "end of the first job", func() bool { return s.submitPlain(p.jobs[2]) == http.StatusOK })
	require.Equal(t, http.StatusServiceUnavailable, s.submitPlain(p.jobs[3]))

	s.writeSettings(h, "")
	s.eventually(exitBound, "reload without a signal", func() bool { return s.logs("settings reloaded") == 2 })
	require.Equal(t, http.StatusOK, s.submitPlain(p.jobs[3]))
	require.Empty(t, s.violations)
}

// TestOperatorSeesTheSite asks hosts, workers and time line of a site by the command line.
func TestOperatorSeesTheSite(t *testing.T) {
	p := newSoakPlan(1, 3, 4, 20*time.Second)
	j := p.jobs[0]
	j.steps, j.isPoison = []soakStep{{Count: 2, CPU: 1, GPUs: 1, Estimated: 1000, Gang: true}}, false
	s := newSoakSite(t, p)
	for _, h := range s.hosts {
		s.eventually(readyBound, "readiness", func() bool { return s.isReady(h) })
	}
	require.Equal(t, http.StatusOK, s.submitPlain(j))
	s.eventually(outcomeBound, "end of the job", func() bool {
		state, _ := s.state(s.hosts[2], j)
		return state == "completed"
	})
	s.eventually(exitBound, "list of hosts", func() bool { return strings.Count(s.ask("hosts"), "Ready") == 3 })
	require.Equal(t, 4, strings.Count(s.ask("workers"), "Ready"))
	line := s.ask("timeline", "--job", j.id)
	for _, want := range []string{"JobAccepted", "JobPlaced", "JobDone"} {
		require.Contains(t, line, want)
	}
	require.Contains(t, s.ask("timeline"), "OwnerChanged")
}

// ask runs a command of the operator against all hosts and returns what it prints.
func (s *soakSite) ask(args ...string) string {
	var at []string
	for _, h := range s.hosts {
		at = append(at, netip.AddrPortFrom(h.ip, statusPort).String())
	}
	x := exec.Command(filepath.Join(bin, "cleatctl"), args...)
	x.Env = append(os.Environ(), "CLEATCTL_STATUS="+strings.Join(at, ","))
	b, err := x.CombinedOutput()
	require.NoError(s.t, err, "%s", b)
	return string(b)
}

// logs counts the lines of the only host with a message.
func (s *soakSite) logs(message string) int {
	return strings.Count(s.process(s.hosts[0].name).output(), `"msg":"`+message+`"`)
}
