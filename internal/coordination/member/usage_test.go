package member

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// usageDelay is the time until usage from an owner reaches every host of a remote failure domain: a heartbeat, a digest and
// another heartbeat.
const usageDelay = defaultInterval + defaultDigestInterval + defaultInterval

// usageOf returns the usage of a number of organisations; each step changes every one by more than a tenth.
func usageOf(orgs int, step int64) map[string]int {
	used := map[string]int{}
	for i := range orgs {
		used[fmt.Sprintf("organisation-%02d", i)] = 100 + i + int(step%2)*50
	}
	return used
}

// startDomain runs the hosts of a failure domain; the first one is the owner.
func (b *testBed) startDomain(name string, hosts int, usage func() map[string]int) {
	for i := range hosts {
		o := Ownership{Term: fleet.Term{Counter: 1, Host: name + "-host-0"}, IsOwner: i == 0}
		b.start(fmt.Sprintf("%s-host-%d", name, i), name, WithUsage(usage), WithOwnership(func() Ownership { return o }))
	}
}

func TestUsageReachesEveryHostOfOtherDomains(t *testing.T) {
	run(t, func(b *testBed) {
		var now atomic.Pointer[map[string]int]
		now.Store(&map[string]int{"harbour": 100, "quay": 7})
		b.startDomain("east", 3, func() map[string]int { return *now.Load() })
		b.startDomain("west", 3, func() map[string]int { return map[string]int{"quay": 1} })
		b.sleep(5 * time.Second)
		requireElsewhere := func(want map[string]int) {
			t.Helper()
			for _, h := range b.hosts {
				if h.self.Domain == "west" {
					require.Equal(t, want, h.RemoteUsage(), h.self.Name)
				} else {
					require.Equal(t, map[string]int{"quay": 1}, h.RemoteUsage(), h.self.Name)
				}
			}
		}
		requireElsewhere(map[string]int{"harbour": 100, "quay": 7})
		now.Store(&map[string]int{"harbour": 120, "bay": 8})
		b.sleep(usageDelay)
		requireElsewhere(map[string]int{"harbour": 120, "bay": 8})
		now.Store(&map[string]int{"harbour": 125, "bay": 8})
		b.sleep(usageDelay)
		requireElsewhere(map[string]int{"harbour": 120, "bay": 8})
		b.sleep(fullUsageInterval + usageDelay)
		requireElsewhere(map[string]int{"harbour": 125, "bay": 8})
		for _, h := range b.hosts {
			if h.self.Domain == "east" {
				b.kill(h)
			}
		}
		b.sleep(usageTTL - time.Second)
		require.NotEmpty(t, b.hosts[3].RemoteUsage(), "work of an unreachable domain may still run")
		b.sleep(2*time.Second + defaultDigestInterval)
		require.Empty(t, b.hosts[3].RemoteUsage())
	})
}

func TestUsageTrafficStaysWithinBudget(t *testing.T) {
	for _, c := range []struct {
		domains, hosts, orgs int
		isChanging           bool
	}{{11, 3, 0, false}, {11, 3, 53, false}, {11, 3, 53, true}, {11, 1, 53, true}} {
		run(t, func(b *testBed) {
			var step atomic.Int64
			for d := range c.domains {
				b.startDomain(fmt.Sprintf("domain-%02d", d), c.hosts, func() map[string]int {
					if c.isChanging {
						return usageOf(c.orgs, step.Load())
					}
					return usageOf(c.orgs, 0)
				})
			}
			b.sleep(45 * time.Second)
			before := make([]int64, len(b.hosts))
			for i, h := range b.hosts {
				before[i] = b.net.Bytes(h.addr)
			}
			for range 600 {
				step.Add(1)
				b.sleep(100 * time.Millisecond)
			}
			var most, sum int64
			for i, h := range b.hosts {
				n := (b.net.Bytes(h.addr) - before[i]) / 60
				most, sum = max(most, n), sum+n
			}
			t.Logf("%d domains of %d hosts, %d organisations, changing %t: mean %d bytes/s per host, maximum %d",
				c.domains, c.hosts, c.orgs, c.isChanging, sum/int64(len(b.hosts)), most)
			require.Less(t, most, int64(5000), "the budget for all control traffic of a host is 5 KB/s")
		})
	}
}

func TestApplyUsageIgnoresInvalidAndBaselessUpdates(t *testing.T) {
	used := map[string]int{"harbour": 3}
	broken := &wire.Usage{Full: true, Organisations: []string{"harbour", "quay"}, Accelerators: []int32{1}}
	change := &wire.Usage{Organisations: []string{"quay"}, Accelerators: []int32{-4}}
	require.Equal(t, used, applyUsage(used, broken))
	require.Nil(t, applyUsage(nil, change))
	require.Equal(t, used, applyUsage(used, change))
	gone := &wire.Usage{Organisations: []string{"quay", "harbour"}, Accelerators: []int32{5, 0}}
	require.Equal(t, map[string]int{"quay": 5}, applyUsage(used, gone))
	require.Equal(t, map[string]int{"harbour": 3}, used)
}

// BenchmarkUsage measures the selection of the usage to send to one receiver, and the size of a full list and of a change.
func BenchmarkUsage(b *testing.B) {
	for _, orgs := range []int{4, 53, 212} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			var t sentUsage
			now := time.Now()
			full := proto.Size(t.next(now, usageOf(orgs, 0)))
			change := proto.Size(t.next(now, usageOf(orgs, 1)))
			used := usageOf(orgs, 1)
			b.ReportAllocs()
			for b.Loop() {
				t.next(now, used)
			}
			b.ReportMetric(float64(full), "full-B")
			b.ReportMetric(float64(change), "change-B")
		})
	}
}
