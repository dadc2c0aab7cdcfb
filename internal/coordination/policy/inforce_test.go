package policy

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// fleetHost is a host that uses the real stream and can be cut off from the log.
type fleetHost struct {
	policy *Policy
	stream *stream.Stream
	addr   netip.AddrPort
	isCut  atomic.Bool
	read   atomic.Int64
}

func (h *fleetHost) log(l port.Log) port.Log {
	return port.Log{
		Append: func(ctx context.Context, data [][]byte) (uint64, error) {
			if h.isCut.Load() {
				return 0, errDown
			}
			return l.Append(ctx, data)
		},
		Read: func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			if h.isCut.Load() {
				return port.Page{}, errDown
			}
			p, err := l.Read(ctx, from, limit, wait)
			for _, r := range p.Records {
				h.read.Add(int64(len(r.Data)))
			}
			return p, err
		},
	}
}

// startHosts runs n hosts that read one log and have one another as peers.
func startHosts(ctx context.Context, n int, l *nettest.Log) ([]*fleetHost, *nettest.Net) {
	net := nettest.New()
	var hs []*fleetHost
	for i := range n {
		h := &fleetHost{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)}
		hs = append(hs, h)
		live := func() []netip.AddrPort {
			var as []netip.AddrPort
			for _, o := range hs {
				if o != h {
					as = append(as, o.addr)
				}
			}
			return as
		}
		h.policy = New(WithAppend(
			func(ctx context.Context, r *wire.Record) (uint64, error) { return h.stream.Append(ctx, r) },
			func(err error) bool { return errors.Is(err, stream.ErrLogDown) },
		))
		h.policy.State().MarkReadFromStart()
		h.stream = stream.New(
			stream.WithLog(h.log(l.Port())),
			stream.WithPeers(net.Peers(h.addr), live),
			stream.WithClock(clock.System()),
			stream.WithHost(strconv.Itoa(i)),
			stream.WithGapHandler(h.policy.State().MarkGap),
			stream.WithSnapshot(h.policy.State().TakeSnapshot, h.policy.State().LoadSnapshot),
		)
		h.stream.Subscribe(h.policy.Fold)
		nettest.Serve(net, h.addr, "Peer.Records", h.stream.Records)
		nettest.Serve(net, h.addr, "Peer.Snapshot", h.stream.Snapshot)
	}
	for _, h := range hs {
		go func() { _ = h.stream.Run(ctx) }()
	}
	synctest.Wait()
	return hs, net
}

// awaitWeight waits until all hosts have the weight in force, for at most a minute, and returns how long that took.
func awaitWeight(t *testing.T, hs []*fleetHost, want int) time.Duration {
	start := time.Now()
	for {
		missing := 0
		for _, h := range hs {
			if weight(h.policy, "registry") != want {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		require.Less(t, time.Since(start), time.Minute)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestInForceEverywhere checks that a change is in force on all hosts within 9 s, also on hosts that are cut off from
// the log and reach only their peers.
func TestInForceEverywhere(t *testing.T) {
	for _, n := range []int{3, 11, 33} {
		for _, cut := range []int{0, n / 3} {
			t.Run(fmt.Sprintf("%d hosts, %d cut off from the log", n, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := nettest.NewLog()
					l.SetSlow(20 * time.Millisecond)
					ctx, cancel := context.WithCancel(t.Context())
					hs, net := startHosts(ctx, n, l)
					time.Sleep(time.Second)
					c := mustPublish(t, hs[0].policy, newRequest("1", "ann", organisationItem(t, "registry", 1, 0)))
					awaitWeight(t, hs, 1)
					for _, h := range hs[n-cut:] {
						h.isCut.Store(true)
					}
					time.Sleep(30 * time.Second)
					lastHost := hs[n-1]
					sent, read := net.Bytes(lastHost.addr), lastHost.read.Load()
					start := time.Now()
					mustPublish(t, hs[0].policy, newRequest("2", "ann", organisationItem(t, "registry", 2, c.Offset)))
					published := time.Since(start)
					took := published + awaitWeight(t, hs, 2)
					require.Less(t, took, 9*time.Second)
					t.Logf("published after %s, in force everywhere after %s; the last host read %d bytes of the log, "+
						"and sent or received %d bytes of peers", published, took, lastHost.read.Load()-read, net.Bytes(lastHost.addr)-sent)
					for _, h := range hs {
						require.Equal(t, hs[0].policy.Config(), h.policy.Config())
					}
					if cut > 0 {
						_, err := lastHost.policy.Publish(t.Context(), newRequest("3", "bob", organisationItem(t, "registry", 3, 2)))
						require.ErrorIs(t, err, stream.ErrLogDown, "a host that is cut off from the log must not accept changes")
						lastHost.isCut.Store(false)
						time.Sleep(10 * time.Second)
						mustPublish(t, lastHost.policy, newRequest("4", "bob", organisationItem(t, "registry", 4, c.Offset+1)))
						awaitWeight(t, hs, 4)
					}
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}
