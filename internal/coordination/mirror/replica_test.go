package mirror

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeCluster is a set of hosts that call each other in memory; down holds those that do not answer.
type fakeCluster struct {
	replicas []*Replica
	mu       sync.Mutex
	down     map[int]bool
	records  []*wire.Record
	bytes    int
}

func newFakeCluster(n int, opts ...Option) *fakeCluster {
	h := &fakeCluster{down: map[int]bool{}}
	for i := range n {
		call := func(ctx context.Context, to netip.AddrPort, method string, q, r proto.Message) error {
			return h.call(ctx, int(to.Port()), method, q, r)
		}
		base := []Option{
			WithDomain("north-quay"),
			WithPeers(func() []Peer { return h.peers(i) }, port.Peers{Call: call}),
			WithQueue(h.queue),
			WithOwner(func() (fleet.Term, bool) { return fleet.Term{Counter: 1}, i == 0 }),
		}
		h.replicas = append(h.replicas, New(append(base, opts...)...))
	}
	return h
}

func (h *fakeCluster) peers(self int) []Peer {
	var ps []Peer
	for i := range h.replicas {
		if i != self && !h.isDown(i) {
			ps = append(ps, Peer{Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
		}
	}
	return ps
}

func (h *fakeCluster) isDown(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down[i]
}

func (h *fakeCluster) call(ctx context.Context, to int, method string, q, r proto.Message) error {
	time.Sleep(time.Millisecond)
	if h.isDown(to) {
		<-ctx.Done()
		return ctx.Err()
	}
	k := h.replicas[to]
	if method == "Peer.Kept" {
		return k.ServeKept(ctx, &wire.Empty{}, r.(*wire.KeptReply))
	}
	x := proto.Clone(q).(*wire.KeepRequest)
	h.mu.Lock()
	h.bytes += proto.Size(x)
	h.mu.Unlock()
	return k.ServeKeep(ctx, x, &wire.Empty{})
}

func (h *fakeCluster) queue(r *wire.Record) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
	return nil
}

func (h *fakeCluster) stop(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[i] = true
}

func oneJob(id string) []fleet.Job {
	return []fleet.Job{{
		ID: id, Organisation: "authority", Profile: "audit", Key: "k", RunTime: time.Minute, Attempt: 4097,
		Shape:    fleet.Shape{Tasks: 2, Accelerators: 1, Processors: 3, Memory: fleet.Gigabyte, Adjacent: fleet.LevelRack},
		Deadline: time.UnixMilli(1_900_000_000_000), Work: []byte("pots"), Domain: "north-quay", Progress: time.Second,
	}}
}

func done(id, answer string) *wire.Outcome {
	return &wire.Outcome{Job: id, Kind: string(fleet.Done), Answer: []byte(answer), AnswerBytes: int64(len(answer))}
}

var term = fleet.Term{Counter: 1, Host: "h0"}

func TestAcceptedJobOutlivesItsOwner(t *testing.T) {
	run := func(off bool) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			h := newFakeCluster(3)
			h.replicas[0].replicationOff = off
			require.NoError(t, h.replicas[0].Put(t.Context(), term, oneJob("j1")))
			h.stop(0)
			js, err := h.replicas[2].Kept(t.Context())
			require.NoError(t, err)
			n = len(js)
			if n == 1 {
				require.Equal(t, oneJob("j1")[0], js[0])
			}
			time.Sleep(time.Second)
		})
		return n
	}
	require.Equal(t, 1, run(false))
	require.Zero(t, run(true), "the test does not detect that no copy was made")
}

func TestJobIsNotAcceptedWithoutCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeCluster(2)
		silent := func(ctx context.Context, _ netip.AddrPort, _ string, _, _ proto.Message) error {
			<-ctx.Done()
			return ctx.Err()
		}
		r := New(WithPeers(func() []Peer { return h.peers(0) }, port.Peers{Call: silent}))
		require.ErrorIs(t, r.Put(t.Context(), term, oneJob("j1")), ErrNoCopy)
	})
}

func TestHostWithoutPeersQueuesJobsForTheLog(t *testing.T) {
	h := newFakeCluster(1)
	require.NoError(t, h.replicas[0].Put(t.Context(), term, oneJob("j1")))
	require.Len(t, h.records, 1)
	full := errors.New("backlog is full")
	r := New(WithQueue(func(*wire.Record) error { return full }))
	require.ErrorIs(t, r.Put(t.Context(), term, oneJob("j1")), full)
	fresh := newFakeCluster(1).replicas[0]
	fresh.Fold(1, time.Now(), h.records[0])
	js, err := fresh.Kept(t.Context())
	require.NoError(t, err)
	require.Equal(t, oneJob("j1"), js)
}

func TestAnswerOutlivesItsOwnerUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeCluster(3)
		a, b := h.replicas[0], h.replicas[1]
		require.NoError(t, a.Put(t.Context(), term, oneJob("j1")))
		require.NoError(t, a.PutOutcome(t.Context(), term, done("j1", "whole answer")))
		time.Sleep(time.Second)
		h.stop(0)
		js, err := b.Kept(t.Context())
		require.NoError(t, err)
		require.Empty(t, js)
		o, ok := b.GetOutcome("j1")
		require.True(t, ok)
		require.Equal(t, "whole answer", string(o.GetAnswer()))
		require.NoError(t, b.Ack(t.Context(), fleet.Term{Counter: 2}, []string{"j1"}))
		o, ok = b.GetOutcome("j1")
		require.True(t, ok)
		require.Empty(t, o.GetAnswer())
		require.Equal(t, int64(12), o.GetAnswerBytes())
		require.ErrorIs(t, a.Put(t.Context(), term, oneJob("j2")), port.ErrFenced)
		time.Sleep(defaultLifetime + time.Second)
		b.expire()
		_, ok = b.GetOutcome("j1")
		require.False(t, ok)
	})
}

func TestFullReplicaRefusesJobsRatherThanAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(WithBytes(fleet.Bytes(3 * (entryOverhead + 8))))
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			require.NoError(t, r.Put(t.Context(), term, oneJob(id)))
			require.NoError(t, r.PutOutcome(t.Context(), term, done(id, "answer")))
			time.Sleep(time.Second)
		}
		require.ErrorIs(t, r.Put(t.Context(), term, oneJob("j3")), ErrFull)
		require.NoError(t, r.Ack(t.Context(), term, []string{"j0", "j1"}))
		require.NoError(t, r.Put(t.Context(), term, oneJob("j3")))
		_, ok := r.GetOutcome("j0")
		require.False(t, ok, "the oldest acknowledged outcome is evicted")
		_, ok = r.GetOutcome("j1")
		require.True(t, ok)
		o, _ := r.GetOutcome("j2")
		require.Equal(t, "answer", string(o.GetAnswer()))
	})
}

func TestLongJobsAreRewrittenAndBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeCluster(2)
		r := h.replicas[0]
		for i := range 60 {
			require.NoError(t, r.Put(t.Context(), term, oneJob(fmt.Sprintf("j%02d", i))))
		}
		time.Sleep(2 * time.Second)
		r.flush()
		require.Len(t, h.records, 1, "60 jobs in one append")
		r.Fold(1, time.Now(), h.records[0])
		time.Sleep(time.Hour)
		r.flush()
		require.Len(t, h.records, 1)
		time.Sleep(rewriteAge)
		r.flush()
		require.Len(t, h.records, 2)
	})
}

func TestRefusedOnlyIfNothingStarted(t *testing.T) {
	starts := []gang.State{gang.NotStarted, gang.Started, gang.Partly, gang.Unknown}
	ends := []plan.Result{
		plan.ResultDone, plan.ResultFailed, plan.ResultStopped, plan.ResultLost, plan.ResultNoStart,
	}
	wrong := func(unknownAsNotStarted bool) int {
		n := 0
		for _, s := range starts {
			for _, e := range ends {
				for _, cancelled := range []bool{false, true} {
					kind := outcomeKind(s, e, cancelled, unknownAsNotStarted)
					if kind == fleet.Refused && s != gang.NotStarted {
						n++
					}
					require.Equal(t, s == gang.Started && e == plan.ResultDone, kind == fleet.Done)
				}
			}
		}
		return n
	}
	require.Zero(t, wrong(false))
	require.NotZero(t, wrong(true), "the test does not detect that an unknown start counts as none")
	for _, c := range []struct {
		start     gang.State
		end       plan.Result
		cancelled bool
		want      fleet.OutcomeKind
	}{
		{gang.NotStarted, plan.ResultNoStart, false, fleet.Refused},
		{gang.NotStarted, plan.ResultNoStart, true, fleet.Cancelled},
		{gang.Started, plan.ResultDone, true, fleet.Done},
		{gang.Started, plan.ResultStopped, true, fleet.Cancelled},
		{gang.Started, plan.ResultStopped, false, fleet.Unknown},
		{gang.Started, plan.ResultFailed, false, fleet.Unknown},
		{gang.Started, plan.ResultLost, true, fleet.Unknown},
		{gang.Partly, plan.ResultNoStart, false, fleet.Unknown},
		{gang.Unknown, plan.ResultNoStart, true, fleet.Unknown},
	} {
		require.Equal(t, c.want, OutcomeKind(c.start, c.end, c.cancelled))
	}
}

// BenchmarkPut measures the bytes to peers and the appends to the log per job, by jobs per second.
func BenchmarkPut(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			h := newFakeCluster(2)
			r := h.replicas[0]
			// A peer that answers immediately leaves only the cost of the package itself.
			r.call = port.Peers{Call: func(_ context.Context, _ netip.AddrPort, _ string, q, _ proto.Message) error {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.bytes += proto.Size(q)
				return nil
			}}
			r.limit = 1 << 40
			b.ReportAllocs()
			for i := range b.N {
				for j := range n {
					_ = r.Put(b.Context(), term, oneJob(fmt.Sprintf("j%d-%d", i, j)))
				}
				for _, e := range r.entries {
					e.at = e.at.Add(-time.Minute)
				}
				r.flush()
				clear(r.entries)
			}
			all := float64(b.N * n)
			b.ReportMetric(float64(len(h.records))/all, "appends/job")
			b.ReportMetric(float64(h.bytes)/all, "wireB/job")
		})
	}
}
