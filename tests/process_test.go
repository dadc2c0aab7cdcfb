package tests

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/stretchr/testify/require"
)

// process is a running program of a test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	// paused is set between SIGSTOP and SIGCONT.
	paused bool
}

// programs holds the processes that a test has started and the folder of their files.
type programs struct {
	t   *testing.T
	dir string
	// mu guards procs in tests that inject faults concurrently.
	mu    sync.Mutex
	procs map[string]*process
}

func newPrograms(t *testing.T) *programs {
	return &programs{t: t, dir: t.TempDir(), procs: map[string]*process{}}
}

// run starts a program with its output in a file of the test's folder.
func (r *programs) run(name, program string, args ...string) *process {
	r.t.Helper()
	return r.start(name, exec.Command(filepath.Join(binDir, program), args...))
}

// runLimited starts a program that may open a limited number of files.
func (r *programs) runLimited(name, program string, openFiles int, args ...string) *process {
	r.t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, openFiles)
	return r.start(name, exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(binDir, program)}, args...)...))
}

func (r *programs) start(name string, x *exec.Cmd) *process {
	r.t.Helper()
	p := &process{name: name, log: filepath.Join(r.dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(r.t, err)
	p.cmd = x
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(r.t, p.cmd.Start())
	r.mu.Lock()
	r.procs[name] = p
	r.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
		_ = out.Close()
	}()
	return p
}

// process returns the process that was last started under a name.
func (r *programs) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.procs[name]
}

// signal sends a signal to a process of this test.
func (r *programs) signal(name string, s syscall.Signal) {
	r.t.Helper()
	p := r.procs[name]
	require.NoError(r.t, p.cmd.Process.Signal(s), name)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// kill sends SIGKILL to a process and waits for its end.
func (r *programs) kill(name string) {
	r.t.Helper()
	r.signal(name, syscall.SIGKILL)
	<-r.procs[name].done
	delete(r.procs, name)
}

// wait waits for the end of a process within a time limit and returns its exit code.
func (r *programs) wait(p *process, bound time.Duration) int {
	r.t.Helper()
	select {
	case <-p.done:
	case <-clock.System().After(bound):
		require.Fail(r.t, "process has not exited", "%s within %s: %s", p.name, bound, p.output())
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) output() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// stop kills all processes.
func (r *programs) stop() {
	for _, p := range r.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range r.procs {
		<-p.done
	}
}

// eventually polls until g returns true, fails the test after the time limit, and returns the time taken.
func (r *programs) eventually(bound time.Duration, what string, g func() bool) time.Duration {
	r.t.Helper()
	begin := time.Now()
	for !g() {
		if time.Since(begin) > bound {
			require.Fail(r.t, "condition not met in time", "%s within %s", what, bound)
		}
		sleep(r.t, pollInterval)
	}
	return time.Since(begin)
}
