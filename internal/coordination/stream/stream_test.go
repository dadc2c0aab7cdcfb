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

// bench is a small set of streams on one log.
type bench struct {
	t    *testing.T
	ctx  context.Context
	net  *nettest.Net
	log  *nettest.Log
	hubs []*hub
}

// hub is one host's stream and what it delivered; a snapshot carries the ids.
type hub struct {
	*Stream
	addr netip.AddrPort
	ids  []string
	offs []uint64
	gaps [][2]uint64
	ring *events.Ring
	stop context.CancelFunc
}

func run(t *testing.T, f func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{t: t, ctx: ctx, net: nettest.New(), log: nettest.NewLog()}
		f(b)
		cancel()
		synctest.Wait()
	})
}

// runBoth runs f with the mechanism and with the mutation that turns it off.
func runBoth(t *testing.T, name, mutation string, f func(t *testing.T, b *bench, mutate bool)) {
	nettest.Both(t, name, mutation, func(t *testing.T, mutate bool) {
		run(t, func(b *bench) { f(t, b, mutate) })
	})
}

func (b *bench) start(opts ...Option) *hub {
	h := &hub{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(b.hubs) + 1)}), 1)}
	b.hubs = append(b.hubs, h)
	h.ring = events.NewRing(h.addr.String(), 100, events.NewClock(time.Now))
	live := func() []netip.AddrPort {
		var as []netip.AddrPort
		for _, o := range b.hubs {
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
		WithLog(b.log.Port()), WithPeers(b.net.Peers(h.addr), live), WithClock(clock.System()), WithRing(h.ring),
		WithSnapshot(take, load), WithGap(func(from, first uint64) { h.gaps = append(h.gaps, [2]uint64{from, first}) }),
	}
	h.Stream = New(append(all, opts...)...)
	h.Subscribe(func(offset uint64, _ time.Time, r *wire.Record) {
		h.ids = append(h.ids, r.GetId())
		h.offs = append(h.offs, offset)
	})
	nettest.Serve(b.net, h.addr, "Peer.Records", h.Records)
	nettest.Serve(b.net, h.addr, "Peer.Snapshot", h.Snapshot)
	ctx, cancel := context.WithCancel(b.ctx)
	h.stop = cancel
	go func() { _ = h.Run(ctx) }()
	synctest.Wait()
	return h
}

func (b *bench) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bench) append(h *hub, ids ...string) {
	b.t.Helper()
	for _, id := range ids {
		_, err := h.Append(b.ctx, &wire.Record{Id: id})
		require.NoError(b.t, err)
	}
	synctest.Wait()
}

func (h *hub) count(k events.Kind) int {
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
	run(t, func(b *bench) {
		x, y := b.start(), b.start()
		offset, err := x.Append(b.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err)
		require.Equal(t, uint64(1), offset)
		b.append(y, "b", "c")
		require.Equal(t, []string{"a", "b", "c"}, x.ids)
		require.Equal(t, x.ids, y.ids)
		require.True(t, x.IsCaughtUp() && y.IsCaughtUp())
		require.Equal(t, uint64(4), y.Next())
	})
}

func TestStreamFoldsRepeatAfterLostAnswer(t *testing.T) {
	runBoth(t, "folded", "keeps repeats", func(t *testing.T, b *bench, mutate bool) {
		x, y := b.start(), b.start(func(s *Stream) { s.keepsRepeats = mutate })
		b.log.SetLossy(true)
		offset, err := x.Append(b.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err, "the record was read back although the answer was lost")
		require.Equal(t, uint64(1), offset)
		again, err := y.Append(b.ctx, &wire.Record{Id: "a"})
		require.NoError(t, err)
		require.Equal(t, offset, again, "a repeat answers the first offset")
		// A repeat that another host has written before it read the first one.
		_, _ = b.log.Port().Append(b.ctx, [][]byte{must(newEntry(&wire.Record{Id: "a"})).data})
		b.sleep(time.Second)
		want := []string{"a"}
		if mutate {
			require.NotEqual(t, want, y.ids, "without folding the repeat shows")
			return
		}
		require.Equal(t, want, x.ids)
		require.Equal(t, want, y.ids)
	})
}

func must(e *entry, err error) *entry {
	if err != nil {
		panic(err)
	}
	return e
}

func TestStreamRecordsWithoutIDAreNotFolded(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		_, err := x.Append(b.ctx, &wire.Record{})
		require.ErrorIs(t, err, ErrNoID)
		for range 2 {
			_, _ = b.log.Port().Append(b.ctx, [][]byte{{}, {0xff}})
		}
		b.sleep(time.Second)
		require.Equal(t, []uint64{1, 3}, x.offs, "one that cannot be read is passed over, the others are delivered")
	})
}

func TestStreamAppendWhileDownIsNeverWritten(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		b.append(x, "a")
		b.log.SetDown(true)
		b.sleep(time.Second)
		require.False(t, x.IsUp())
		_, err := x.Append(b.ctx, &wire.Record{Id: "b"})
		require.ErrorIs(t, err, ErrLogDown)
		b.log.SetDown(false)
		b.sleep(time.Minute)
		require.True(t, x.IsUp())
		require.Equal(t, []string{"a"}, x.ids)
		require.Equal(t, uint64(2), b.log.Next())
		require.Equal(t, 1, x.count(events.LogDown))
		require.Equal(t, 2, x.count(events.LogUp))
	})
}

func TestStreamAppendToSilentLogIsUnknown(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		b.append(x, "a")
		b.log.SetBlocked(true)
		ctx, cancel := context.WithTimeout(b.ctx, 400*time.Millisecond)
		defer cancel()
		_, err := x.Append(ctx, &wire.Record{Id: "b"})
		require.ErrorIs(t, err, ErrUnknown)
		require.NotErrorIs(t, err, ErrLogDown)
		late, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
		defer cancel()
		_, err = x.Append(late, &wire.Record{Id: "c"})
		require.ErrorIs(t, err, ErrLogDown, "c waited behind b and was withdrawn before it was sent")
		b.sleep(15 * time.Second)
		require.False(t, x.IsUp(), "a log that does not answer counts as down")
		b.log.SetBlocked(false)
		b.sleep(time.Minute)
		require.True(t, x.IsUp())
		require.NotContains(t, x.ids, "c")
	})
}

func TestStreamSlowLogStaysUsable(t *testing.T) {
	run(t, func(b *bench) {
		x, y := b.start(), b.start()
		b.log.SetSlow(3 * time.Second)
		b.sleep(time.Minute)
		downs := x.count(events.LogDown)
		b.sleep(time.Hour)
		require.LessOrEqual(t, x.count(events.LogDown)-downs, 1, "a slow log does not go up and down")
		b.append(x, "a")
		b.sleep(10 * time.Second)
		require.Equal(t, []string{"a"}, y.ids)
	})
}

func TestStreamFetchesFromPeersWhileDown(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		b.append(x, "a", "b", "c")
		b.log.SetDown(true)
		b.sleep(time.Second)
		y := b.start()
		b.sleep(3 * time.Second)
		require.Equal(t, []string{"a", "b", "c"}, y.ids)
		require.Equal(t, []uint64{1, 2, 3}, y.offs)
		require.True(t, y.IsCaughtUp())
		b.log.SetDown(false)
		b.sleep(3 * time.Second)
		b.append(y, "d")
		require.Equal(t, []string{"a", "b", "c", "d"}, x.ids)
		require.Equal(t, x.ids, y.ids)
	})
}

func TestStreamAllHostsReplacedWhileDown(t *testing.T) {
	run(t, func(b *bench) {
		hs := []*hub{b.start(), b.start(), b.start()}
		b.append(hs[0], "a", "b", "c")
		b.log.SetDown(true)
		b.sleep(time.Second)
		for i := range 3 {
			hs = append(hs, b.start())
			b.sleep(5 * time.Second)
			require.True(t, hs[3+i].IsCaughtUp())
			hs[i].stop()
			b.net.Remove(hs[i].addr)
		}
		for _, h := range hs[3:] {
			require.Equal(t, []string{"a", "b", "c"}, h.ids, "one by one nothing is lost")
			h.stop()
			b.net.Remove(h.addr)
		}
		last := b.start()
		b.sleep(time.Hour)
		require.False(t, last.IsCaughtUp(), "all at once: not ready until the log is back")
		require.Empty(t, last.ids)
		b.log.SetDown(false)
		b.sleep(5 * time.Second)
		require.True(t, last.IsCaughtUp())
		require.Equal(t, []string{"a", "b", "c"}, last.ids)
	})
}

func TestStreamJoinerDoesNotTrustAnEmptyPeer(t *testing.T) {
	runBoth(t, "waits", "trusts any peer", func(t *testing.T, b *bench, mutate bool) {
		b.log.SetDown(true)
		x, y := b.start(func(s *Stream) { s.trustsAnyPeer = mutate }), b.start()
		b.sleep(time.Minute)
		require.Equal(t, mutate, x.IsCaughtUp())
		require.Equal(t, mutate, y.IsCaughtUp(), "what one takes for the truth it passes on")
		b.log.SetDown(false)
		b.sleep(3 * time.Second)
		require.True(t, x.IsCaughtUp() && y.IsCaughtUp())
	})
}

func TestStreamHintFetchesAtOnce(t *testing.T) {
	run(t, func(b *bench) {
		x, y := b.start(), b.start()
		b.append(x, "a")
		b.log.SetBlocked(true)
		b.sleep(15 * time.Second)
		require.False(t, x.IsUp())
		// y has read a record that x has not.
		y.deliver(port.Record{Offset: 2, Data: must(newEntry(&wire.Record{Id: "b"})).data})
		x.Hint(y.addr, y.Next())
		synctest.Wait()
		require.Equal(t, []string{"a", "b"}, x.ids)
	})
}

func TestStreamLoadsSnapshotWhenExpired(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		b.append(x, "a", "b", "c")
		b.log.Expire(3)
		y := b.start()
		b.sleep(3 * time.Second)
		require.Equal(t, []string{"snapshot [a b c]"}, y.ids)
		require.Empty(t, y.gaps)
		_, _ = b.log.Port().Append(b.ctx, [][]byte{must(newEntry(&wire.Record{Id: "c"})).data})
		b.append(x, "d")
		require.Equal(t, []string{"snapshot [a b c]", "d"}, y.ids, "a repeat of a record before the snapshot is folded")
	})
}

func TestStreamPausedBeyondTheRetentionLoadsSnapshot(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		p := &nettest.Pause{}
		l := b.log.Port()
		read := l.Read
		l.Read = func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			if err := p.Wait(ctx); err != nil {
				return port.Page{}, err
			}
			return read(ctx, from, limit, wait)
		}
		y := b.start(WithLog(l), WithClock(p.Clock()))
		b.append(x, "a")
		require.Equal(t, []string{"a"}, y.ids)
		p.Stop()
		b.sleep(10 * time.Second)
		b.append(x, "b", "c", "d")
		b.log.Expire(4)
		b.sleep(time.Hour)
		p.Resume()
		b.sleep(10 * time.Second)
		require.Equal(t, []string{"snapshot [a b c d]"}, y.ids)
		require.Empty(t, y.gaps)
		b.append(x, "e")
		require.Equal(t, []string{"snapshot [a b c d]", "e"}, y.ids)
	})
}

func TestStreamTellsGapWhenNobodyHasSnapshot(t *testing.T) {
	run(t, func(b *bench) {
		x := b.start()
		b.append(x, "a", "b", "c")
		x.stop()
		synctest.Wait()
		b.net.Remove(x.addr)
		b.log.Expire(3)
		y := b.start()
		b.sleep(3 * time.Second)
		require.Equal(t, []string{"c"}, y.ids)
		require.Equal(t, [][2]uint64{{1, 3}}, y.gaps)
		require.True(t, y.IsCaughtUp())
	})
}

func TestStreamShorterLogIsAnAlarmAndNeverReverts(t *testing.T) {
	runBoth(t, "held", "trusts the log", func(t *testing.T, b *bench, mutate bool) {
		x := b.start(func(s *Stream) { s.trustsLog = mutate })
		b.append(x, "a", "b", "c")
		b.log.SetDown(true)
		b.sleep(time.Second)
		b.log.Truncate(2)
		b.log.SetDown(false)
		b.sleep(5 * time.Second)
		for _, id := range []string{"p", "q", "r"} {
			_, _ = b.log.Port().Append(b.ctx, [][]byte{must(newEntry(&wire.Record{Id: id})).data})
		}
		b.sleep(5 * time.Second)
		if mutate {
			require.Contains(t, x.ids, "r", "without the check the stream goes on as if nothing were lost")
			return
		}
		require.Equal(t, []string{"a", "b", "c"}, x.ids)
		require.Equal(t, 1, x.count(events.ConfigAlarm))
		require.False(t, x.IsUp())
		_, err := x.Append(b.ctx, &wire.Record{Id: "d"})
		require.ErrorIs(t, err, ErrLogDown)
	})
}

func TestStreamWritesBacklogAtBoundedRate(t *testing.T) {
	runBoth(t, "bounded", "no bound", func(t *testing.T, b *bench, mutate bool) {
		rate := WithBacklogRate(defaultBacklogBatch, defaultBacklogGap)
		if mutate {
			rate = func(s *Stream) { s.backlogGap, s.appendGap = time.Millisecond, 0 }
		}
		var hs []*hub
		for range 4 {
			hs = append(hs, b.start(WithBacklogBytes(32<<10), rate))
		}
		b.log.SetDown(true)
		b.sleep(time.Second)
		var full int
		for i := range 2000 {
			for j, h := range hs {
				if err := h.Queue(&wire.Record{Id: fmt.Sprintf("%d-%d", j, i), Host: "host-with-a-name"}); err != nil {
					require.ErrorIs(t, err, ErrBacklogFull)
					full++
				}
			}
		}
		require.Positive(t, full, "the backlog is bounded")
		waiting := hs[0].Backlog()
		require.Greater(t, waiting, 1000)
		b.sleep(time.Hour)
		b.log.SetDown(false)
		b.sleep(2 * time.Minute)
		for _, h := range hs {
			require.Zero(t, h.Backlog())
			require.Len(t, h.ids, 4*waiting)
		}
		most := mostPerSecond(b.log.Appends())
		t.Logf("%d records of 4 hosts were written by %d appends, at most %d in one second",
			4*waiting, len(b.log.Appends()), most)
		if mutate {
			require.Greater(t, most, 4, "the backlog is written as fast as it goes")
			return
		}
		require.LessOrEqual(t, most, 4)
	})
}

func mostPerSecond(ts []time.Time) int {
	most := 0
	for i, t := range ts {
		j, _ := slices.BinarySearchFunc(ts, t.Add(time.Second), time.Time.Compare)
		most = max(most, j-i)
	}
	return most
}

// BenchmarkStream measures the delivery of records and the bytes that their ids and raw form keep, by their number.
func BenchmarkStream(b *testing.B) {
	for _, records := range []int{1000, 4000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var data [][]byte
			for i := range records {
				r := &wire.Record{Id: fmt.Sprintf("config/host-%d", i), Body: &wire.Record_Config{Config: &wire.ConfigChange{
					Operator: "operator", Items: []*wire.ConfigItem{{Kind: "Profile", Json: make([]byte, 1000)}},
				}}}
				data = append(data, must(newEntry(r)).data)
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
		run(t, func(b *bench) {
			x, y, z := b.start(), b.start(), b.start()
			b.net.Delay = func(_, to netip.AddrPort) time.Duration {
				return time.Duration((seed*7919+int(to.Addr().As4()[3])*104729)%90) * time.Millisecond
			}
			for i := range 30 {
				h := []*hub{x, y, z}[(seed+i*i)%3]
				b.log.SetLossy((seed+i)%4 == 0)
				b.log.SetDown((seed+i)%7 == 3)
				id := fmt.Sprintf("%d", i)
				_ = h.Queue(&wire.Record{Id: id})
				ctx, cancel := context.WithTimeout(b.ctx, 100*time.Millisecond)
				_, _ = h.Append(ctx, &wire.Record{Id: id})
				cancel()
			}
			b.log.SetDown(false)
			b.log.SetLossy(false)
			b.sleep(5 * time.Minute)
			require.Equal(t, x.ids, y.ids, "seed %d", seed)
			require.Equal(t, x.ids, z.ids, "seed %d", seed)
			require.Len(t, x.ids, 30, "seed %d", seed)
		})
	}
}
