package stream

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/nettest"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/stretchr/testify/require"
)

// cluster is a set of streams that share one log.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	net   *nettest.Net
	log   *nettest.Log
	hosts []*testHost
}

// testHost is the stream of one host and the records that it delivered; a snapshot holds the ids.
type testHost struct {
	*Stream
	addr    netip.AddrPort
	ids     []string
	offsets []uint64
	gaps    [][2]uint64
	ring    *events.Ring
	stop    context.CancelFunc
}

func runCluster(t *testing.T, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, net: nettest.New(), log: nettest.NewLog()}
		f(c)
		cancel()
		synctest.Wait()
	})
}

// runBoth runs f with the mechanism and with the mutation that disables it.
func runBoth(t *testing.T, name, mutation string, f func(t *testing.T, c *cluster, mutate bool)) {
	nettest.RunWithMutation(t, name, mutation, func(t *testing.T, mutate bool) {
		runCluster(t, func(c *cluster) { f(t, c, mutate) })
	})
}

func (c *cluster) start(opts ...Option) *testHost {
	h := &testHost{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(c.hosts) + 1)}), 1)}
	c.hosts = append(c.hosts, h)
	h.ring = events.NewRing(h.addr.String(), 100, events.NewClock(time.Now))
	live := func() []netip.AddrPort {
		var as []netip.AddrPort
		for _, o := range c.hosts {
			if o != h {
				as = append(as, o.addr)
			}
		}
		return as
	}
	take := func(r *wire.SnapshotReply) error {
		r.Config = []byte(fmt.Sprint(h.ids))
		return nil
	}
	load := func(r *wire.SnapshotReply) error {
		h.ids = []string{"snapshot " + string(r.GetConfig())}
		return nil
	}
	all := []Option{
		WithLog(c.log.Port()), WithPeers(c.net.Peers(h.addr), live), WithClock(clock.System()), WithRing(h.ring),
		WithSnapshot(take, load), WithGapHandler(func(from, first uint64) { h.gaps = append(h.gaps, [2]uint64{from, first}) }),
	}
	h.Stream = New(append(all, opts...)...)
	h.Subscribe(func(offset uint64, _ time.Time, r *wire.Record) {
		h.ids = append(h.ids, r.GetId())
		h.offsets = append(h.offsets, offset)
	})
	nettest.Serve(c.net, h.addr, "Peer.Records", h.Records)
	nettest.Serve(c.net, h.addr, "Peer.Snapshot", h.Snapshot)
	ctx, cancel := context.WithCancel(c.ctx)
	h.stop = cancel
	go func() { _ = h.Run(ctx) }()
	synctest.Wait()
	return h
}

func (c *cluster) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (c *cluster) append(h *testHost, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		_, err := h.Append(c.ctx, &wire.Record{Id: id})
		require.NoError(c.t, err)
	}
	synctest.Wait()
}

func (h *testHost) countEvents(k events.Kind) int {
	es, _ := h.ring.Find(events.Filter{})
	n := 0
	for _, e := range es {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func TestStreamDeliversInOrderOnAllHosts(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x, y := c.start(), c.start()
		offset, err := x.Append(c.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err)
		require.Equal(t, uint64(1), offset)
		c.append(y, "b", "c")
		require.Equal(t, []string{"a", "b", "c"}, x.ids)
		require.Equal(t, x.ids, y.ids)
		require.True(t, x.IsCaughtUp() && y.IsCaughtUp())
		require.Equal(t, uint64(4), y.Next())
	})
}

func TestStreamDeduplicatesAfterLostAnswer(t *testing.T) {
	runBoth(t, "deduplicated", "deduplication disabled", func(t *testing.T, c *cluster, mutate bool) {
		x, y := c.start(), c.start(func(s *Stream) { s.disableDedup = mutate })
		c.log.SetLossy(true)
		offset, err := x.Append(c.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err, "the record is read back although the answer was lost")
		require.Equal(t, uint64(1), offset)
		again, err := y.Append(c.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err)
		require.Equal(t, offset, again, "a repeated append returns the first offset")
		// A duplicate that another host appended before it had read the first one.
		_, _ = c.log.Port().Append(c.ctx, [][]byte{mustEncode(newPendingRecord(&wire.Record{Id: "a"})).data})
		c.sleep(time.Second)
		want := []string{"a"}
		if mutate {
			require.NotEqual(t, want, y.ids, "without deduplication the duplicate is delivered")
			return
		}
		require.Equal(t, want, x.ids)
		require.Equal(t, want, y.ids)
	})
}

func mustEncode(e *pendingRecord, err error) *pendingRecord {
	if err != nil {
		panic(err)
	}
	return e
}

func TestStreamDeliversRecordsWithoutID(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		_, err := x.Append(c.ctx, &wire.Record{})
		require.ErrorIs(t, err, ErrNoID)
		for range 2 {
			_, _ = c.log.Port().Append(c.ctx, [][]byte{{}, {0xff}})
		}
		c.sleep(time.Second)
		require.Equal(t, []uint64{1, 3}, x.offsets, "records that cannot be decoded are skipped, the others are delivered")
	})
}

func TestStreamAppendWhileDownIsNeverWritten(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		c.append(x, "a")
		c.log.SetDown(true)
		c.sleep(time.Second)
		require.False(t, x.IsUp())
		_, err := x.Append(c.ctx, &wire.Record{Id: "b"})
		require.ErrorIs(t, err, ErrLogDown)
		c.log.SetDown(false)
		c.sleep(time.Minute)
		require.True(t, x.IsUp())
		require.Equal(t, []string{"a"}, x.ids)
		require.Equal(t, uint64(2), c.log.Next())
		require.Equal(t, 1, x.countEvents(events.LogDown))
		require.Equal(t, 2, x.countEvents(events.LogUp))
	})
}

func TestStreamAppendToUnresponsiveLogIsUnknown(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		c.append(x, "a")
		c.log.SetBlocked(true)
		ctx, cancel := context.WithTimeout(c.ctx, 400*time.Millisecond)
		defer cancel()
		_, err := x.Append(ctx, &wire.Record{Id: "b"})
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.NotErrorIs(t, err, ErrLogDown)
		late, cancel := context.WithTimeout(c.ctx, 50*time.Millisecond)
		defer cancel()
		_, err = x.Append(late, &wire.Record{Id: "c"})
		require.ErrorIs(t, err, ErrLogDown, "c was queued behind b and removed before it was sent")
		c.sleep(15 * time.Second)
		require.False(t, x.IsUp(), "a log that does not answer is down")
		c.log.SetBlocked(false)
		c.sleep(time.Minute)
		require.True(t, x.IsUp())
		require.NotContains(t, x.ids, "c")
	})
}

func TestStreamSlowLogStaysUsable(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x, y := c.start(), c.start()
		c.log.SetSlow(3 * time.Second)
		c.sleep(time.Minute)
		downs := x.countEvents(events.LogDown)
		c.sleep(time.Hour)
		require.LessOrEqual(t, x.countEvents(events.LogDown)-downs, 1, "a slow log does not flap between up and down")
		c.append(x, "a")
		c.sleep(10 * time.Second)
		require.Equal(t, []string{"a"}, y.ids)
	})
}

func TestStreamFetchesFromPeersWhileDown(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		c.append(x, "a", "b", "c")
		c.log.SetDown(true)
		c.sleep(time.Second)
		y := c.start()
		c.sleep(3 * time.Second)
		require.Equal(t, []string{"a", "b", "c"}, y.ids)
		require.Equal(t, []uint64{1, 2, 3}, y.offsets)
		require.True(t, y.IsCaughtUp())
		c.log.SetDown(false)
		c.sleep(3 * time.Second)
		c.append(y, "d")
		require.Equal(t, []string{"a", "b", "c", "d"}, x.ids)
		require.Equal(t, x.ids, y.ids)
	})
}

func TestStreamAllHostsReplacedWhileDown(t *testing.T) {
	runCluster(t, func(c *cluster) {
		hs := []*testHost{c.start(), c.start(), c.start()}
		c.append(hs[0], "a", "b", "c")
		c.log.SetDown(true)
		c.sleep(time.Second)
		for i := range 3 {
			hs = append(hs, c.start())
			c.sleep(5 * time.Second)
			require.True(t, hs[3+i].IsCaughtUp())
			hs[i].stop()
			c.net.Remove(hs[i].addr)
		}
		for _, h := range hs[3:] {
			require.Equal(t, []string{"a", "b", "c"}, h.ids, "a rolling replacement loses no record")
			h.stop()
			c.net.Remove(h.addr)
		}
		last := c.start()
		c.sleep(time.Hour)
		require.False(t, last.IsCaughtUp(), "without any old host, a new one is not ready until the log is back")
		require.Empty(t, last.ids)
		c.log.SetDown(false)
		c.sleep(5 * time.Second)
		require.True(t, last.IsCaughtUp())
		require.Equal(t, []string{"a", "b", "c"}, last.ids)
	})
}

func TestStreamIgnoresPeerNotCaughtUp(t *testing.T) {
	runBoth(t, "waits for the log", "peer check disabled", func(t *testing.T, c *cluster, mutate bool) {
		c.log.SetDown(true)
		x, y := c.start(func(s *Stream) { s.disablePeerCheck = mutate }), c.start()
		c.sleep(time.Minute)
		require.Equal(t, mutate, x.IsCaughtUp())
		require.Equal(t, mutate, y.IsCaughtUp(), "a host that is caught up by mistake is trusted by its peers")
		c.log.SetDown(false)
		c.sleep(3 * time.Second)
		require.True(t, x.IsCaughtUp() && y.IsCaughtUp())
	})
}

func TestStreamFetchesFromPeerAheadAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x, y := c.start(), c.start()
		c.append(x, "a")
		c.log.SetBlocked(true)
		c.sleep(15 * time.Second)
		require.False(t, x.IsUp())
		// y has delivered a record that x has not.
		y.deliver(port.Record{Offset: 2, Data: mustEncode(newPendingRecord(&wire.Record{Id: "b"})).data})
		x.ObservePeerOffset(y.addr, y.Next())
		synctest.Wait()
		require.Equal(t, []string{"a", "b"}, x.ids)
	})
}

func TestStreamLoadsSnapshotWhenExpired(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		c.append(x, "a", "b", "c")
		c.log.Expire(3)
		y := c.start()
		c.sleep(3 * time.Second)
		require.Equal(t, []string{"snapshot [a b c]"}, y.ids)
		require.Empty(t, y.gaps)
		_, _ = c.log.Port().Append(c.ctx, [][]byte{mustEncode(newPendingRecord(&wire.Record{Id: "c"})).data})
		c.append(x, "d")
		require.Equal(t, []string{"snapshot [a b c]", "d"}, y.ids, "a duplicate of a record before the snapshot is not delivered")
	})
}

func TestStreamLoadsSnapshotAfterPauseBeyondRetention(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		p := &nettest.Pause{}
		l := c.log.Port()
		read := l.Read
		l.Read = func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			if err := p.Wait(ctx); err != nil {
				return port.Page{}, err
			}
			return read(ctx, from, limit, wait)
		}
		y := c.start(WithLog(l), WithClock(p.Clock()))
		c.append(x, "a")
		require.Equal(t, []string{"a"}, y.ids)
		p.Stop()
		c.sleep(10 * time.Second)
		c.append(x, "b", "c", "d")
		c.log.Expire(4)
		c.sleep(time.Hour)
		p.Resume()
		c.sleep(10 * time.Second)
		require.Equal(t, []string{"snapshot [a b c d]"}, y.ids)
		require.Empty(t, y.gaps)
		c.append(x, "e")
		require.Equal(t, []string{"snapshot [a b c d]", "e"}, y.ids)
	})
}

func TestStreamReportsGapWithoutSnapshot(t *testing.T) {
	runCluster(t, func(c *cluster) {
		x := c.start()
		c.append(x, "a", "b", "c")
		x.stop()
		synctest.Wait()
		c.net.Remove(x.addr)
		c.log.Expire(3)
		y := c.start()
		c.sleep(3 * time.Second)
		require.Equal(t, []string{"c"}, y.ids)
		require.Equal(t, [][2]uint64{{1, 3}}, y.gaps)
		require.True(t, y.IsCaughtUp())
	})
}

func TestStreamRaisesAlarmOnLogReversion(t *testing.T) {
	runBoth(t, "alarm raised", "reversion check disabled", func(t *testing.T, c *cluster, mutate bool) {
		x := c.start(func(s *Stream) { s.disableReversionCheck = mutate })
		c.append(x, "a", "b", "c")
		c.log.SetDown(true)
		c.sleep(time.Second)
		c.log.Truncate(2)
		c.log.SetDown(false)
		c.sleep(5 * time.Second)
		for _, id := range []string{"p", "q", "r"} {
			_, _ = c.log.Port().Append(c.ctx, [][]byte{mustEncode(newPendingRecord(&wire.Record{Id: id})).data})
		}
		c.sleep(5 * time.Second)
		if mutate {
			require.Contains(t, x.ids, "r", "without the check, records are delivered although others were lost")
			return
		}
		require.Equal(t, []string{"a", "b", "c"}, x.ids)
		require.Equal(t, 1, x.countEvents(events.ConfigAlarm))
		require.False(t, x.IsUp())
		_, err := x.Append(c.ctx, &wire.Record{Id: "d"})
		require.ErrorIs(t, err, ErrLogDown)
	})
}

func TestStreamRateLimitsBacklog(t *testing.T) {
	runBoth(t, "rate limited", "no rate limit", func(t *testing.T, c *cluster, mutate bool) {
		rate := WithBacklogRate(defaultBacklogBatch, defaultBacklogInterval)
		if mutate {
			rate = func(s *Stream) { s.backlogInterval, s.appendInterval = time.Millisecond, 0 }
		}
		var hs []*testHost
		for range 4 {
			hs = append(hs, c.start(WithBacklogBytes(32<<10), rate))
		}
		c.log.SetDown(true)
		c.sleep(time.Second)
		var full int
		for i := range 2000 {
			for j, h := range hs {
				if err := h.Queue(&wire.Record{Id: fmt.Sprintf("%d-%d", j, i), Host: "host-with-a-name"}); err != nil {
					require.ErrorIs(t, err, ErrBacklogFull)
					full++
				}
			}
		}
		require.Positive(t, full, "the backlog is limited in size")
		waiting := hs[0].Backlog()
		require.Greater(t, waiting, 1000)
		c.sleep(time.Hour)
		c.log.SetDown(false)
		c.sleep(2 * time.Minute)
		for _, h := range hs {
			require.Zero(t, h.Backlog())
			require.Len(t, h.ids, 4*waiting)
		}
		most := maxPerSecond(c.log.Appends())
		t.Logf("%d records of 4 hosts were written in %d appends, at most %d per second",
			4*waiting, len(c.log.Appends()), most)
		if mutate {
			require.Greater(t, most, 4, "the backlog is written without a rate limit")
			return
		}
		require.LessOrEqual(t, most, 4)
	})
}

func maxPerSecond(ts []time.Time) int {
	peak := 0
	for i, t := range ts {
		j, _ := slices.BinarySearchFunc(ts, t.Add(time.Second), time.Time.Compare)
		peak = max(peak, j-i)
	}
	return peak
}

// BenchmarkStream measures the delivery of records, and the memory kept for their ids and raw form, by their number.
func BenchmarkStream(b *testing.B) {
	for _, records := range []int{1000, 4000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var data [][]byte
			for i := range records {
				r := &wire.Record{Id: fmt.Sprintf("config/host-%d", i), Body: &wire.Record_Config{Config: &wire.ConfigChange{
					Operator: "operator", Items: []*wire.ConfigItem{{Kind: "Profile", Json: make([]byte, 1000)}},
				}}}
				data = append(data, mustEncode(newPendingRecord(r)).data)
			}
			for b.Loop() {
				s := New()
				for i, d := range data {
					s.deliver(port.Record{Offset: uint64(i + 1), Data: d})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*records), "ns/record")
		})
	}
}

func TestStreamOrderUnderRandomDelays(t *testing.T) {
	for seed := range 24 {
		runCluster(t, func(c *cluster) {
			x, y, z := c.start(), c.start(), c.start()
			c.net.Delay = func(_, to netip.AddrPort) time.Duration {
				return time.Duration((seed*7919+int(to.Addr().As4()[3])*104729)%90) * time.Millisecond
			}
			for i := range 30 {
				h := []*testHost{x, y, z}[(seed+i*i)%3]
				c.log.SetLossy((seed+i)%4 == 0)
				c.log.SetDown((seed+i)%7 == 3)
				id := fmt.Sprintf("%d", i)
				_ = h.Queue(&wire.Record{Id: id})
				ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
				_, _ = h.Append(ctx, &wire.Record{Id: id})
				cancel()
			}
			c.log.SetDown(false)
			c.log.SetLossy(false)
			c.sleep(5 * time.Minute)
			require.Equal(t, x.ids, y.ids, "seed %d", seed)
			require.Equal(t, x.ids, z.ids, "seed %d", seed)
			require.Len(t, x.ids, 30, "seed %d", seed)
		})
	}
}
