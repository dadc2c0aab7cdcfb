package tests

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const gaugeInterval = 20 * time.Millisecond

// gauge samples what a process holds: its memory, the bytes that its sockets have received and it has not read, and its
// open files.
type gauge struct {
	t  *testing.T
	p  *process
	ip netip.Addr

	mu sync.Mutex
	// maxResident is the highest resident memory, maxHeld the highest sum of resident memory and unread bytes.
	maxResident int64
	maxUnread   int64
	maxHeld     int64
	maxFiles    int
}

// startGauge samples a process that listens on an address until the test ends.
func startGauge(t *testing.T, p *process, ip netip.Addr) *gauge {
	g := &gauge{t: t, p: p, ip: ip}
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			g.sample()
			select {
			case <-t.Context().Done():
				return
			case <-time.After(gaugeInterval):
			}
		}
	})
	t.Cleanup(sampling.Wait)
	return g
}

func (g *gauge) sample() {
	resident, peak := readMemory(g.p.cmd.Process.Pid)
	unread := readUnread(g.ip)
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", g.p.cmd.Process.Pid))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxResident = max(g.maxResident, resident, peak)
	g.maxUnread = max(g.maxUnread, unread)
	g.maxHeld = max(g.maxHeld, resident+unread, peak)
	g.maxFiles = max(g.maxFiles, len(files))
}

func (g *gauge) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("resident at most %d KB, unread at most %d KB, both at most %d KB, open files at most %d",
		g.maxResident>>10, g.maxUnread>>10, g.maxHeld>>10, g.maxFiles)
}

// requireWithinLimits requires that the process runs and has always been within its limits.
func (g *gauge) requireWithinLimits(when string) {
	g.t.Helper()
	g.sample()
	select {
	case <-g.p.done:
		require.Fail(g.t, "process has ended "+when, g.p.output())
	default:
	}
	text := g.String()
	g.mu.Lock()
	defer g.mu.Unlock()
	require.LessOrEqual(g.t, g.maxHeld, int64(crowdMemoryBytes), "memory %s: %s", when, text)
	require.LessOrEqual(g.t, g.maxFiles, crowdOpenFiles-crowdReservedFiles, "open files %s: %s", when, text)
}

// readMemory returns the resident memory of a process and the highest so far.
func readMemory(pid int) (resident, peak int64) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			resident = n << 10
		case "VmHWM:":
			peak = n << 10
		}
	}
	return resident, peak
}

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// readUnread returns the bytes that the sockets of an address have received and no process has read.
func readUnread(ip netip.Addr) int64 {
	b, _ := os.ReadFile("/proc/net/tcp")
	a := ip.As4()
	prefix := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(a[:]))
	var sum int64
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], prefix) || f[3] == tcpListen {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum
}
