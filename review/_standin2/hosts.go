package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one process of the project with its settings.
type host struct {
	name, zone                 string
	front, ready, status, peer string
	settings                   string
	log                        *os.File
	mu                         sync.Mutex
	cmd                        *exec.Cmd
	gone                       chan struct{}
	// isOver is set at the end of the case; the process is not started any more.
	isOver bool
	// endedAt is when the process ended although nobody had told it to; zero while it runs.
	endedAt time.Time
}

var errOver = errors.New("the case is over")

// settingsText is what the template of the deploy file gives for a small deployment.
const settingsText = `[Host]
Name = %s
Domain = %s

[Listen]
Caller = %s
Ready = %s
Status = %s
Peer = %s

[Store]
Addr = %s

[Bounds]
MaxHold = 10000ms
StopTimeout = 200ms
Claim = 2700ms
GangTimeout = 3000ms
Revoke = 5000ms
KeepEnded = 120s
Grace = 6s

[Limits]
Memory = 284MB
Processors = 0.4
OpenFiles = 4100

[Plan]
Enable = Speeds

[Log]
Level = info
Format = json
`

// hostIP returns the loopback address of the host with an index. It depends on the process, so that cases that run at the same time do not
// meet.
func hostIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, 1+pid/100%250, 1+i)
}

// Ports of the hosts lie below those that the system gives to outgoing connections.
const firstPort, portCount, portTries = 12000, 16000, 100

// freePort returns an address on which nothing listens.
func freePort(ip string) (string, error) {
	var err error
	for range portTries {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(portCount)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

func newHost(dir, name, zone, ip, storeAddr string) (*host, error) {
	h := &host{name: name, zone: zone, settings: filepath.Join(dir, name+".conf")}
	for _, p := range []*string{&h.front, &h.ready, &h.status, &h.peer} {
		a, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		*p = a
	}
	text := fmt.Sprintf(settingsText, name, zone, h.front, h.ready, h.status, h.peer, storeAddr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(dir, name+".log"))
	return h, err
}

// start runs the command of the deploy file in the folder of the repository.
func (h *host) start(root string) error {
	words := strings.Fields("target/auburncleatd site")
	c := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = root, h.log, h.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNCLEAT_BOOT=" + h.settings}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver {
		return errOver
	}
	if err := c.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	h.cmd, h.gone, h.endedAt = c, gone, time.Time{}
	go func() {
		_ = c.Wait()
		h.mu.Lock()
		h.endedAt = time.Now()
		h.mu.Unlock()
		close(gone)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.endedAt.IsZero() {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits until it has gone.
func (h *host) kill() {
	h.mu.Lock()
	gone := h.gone
	h.mu.Unlock()
	if gone == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-gone
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.isOver = true
	h.mu.Unlock()
	h.kill()
}

// hasEnded reports whether the process has gone.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.endedAt.IsZero()
}

// privateMB returns the memory of the process that no file backs, in MB; zero if it has gone.
func (h *host) privateMB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
