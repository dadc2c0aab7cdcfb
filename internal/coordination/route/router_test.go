package route

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

var (
	addrA             = netip.MustParseAddrPort("127.0.0.1:1")
	addrB             = netip.MustParseAddrPort("127.0.0.1:2")
	domains           = []string{"a", "b"}
	errConnectionLost = errors.New("connection lost")
)

// fakeOwners simulates the owners of failure domains a and b.
type fakeOwners struct {
	calls  map[netip.AddrPort]int
	submit func(to netip.AddrPort, j *wire.Job) (*wire.SubmitReply, error)
}

func (o *fakeOwners) call(_ context.Context, to netip.AddrPort, _ string, q, reply proto.Message) error {
	o.calls[to]++
	r, err := o.submit(to, q.(*wire.SubmitRequest).GetJob())
	if err == nil {
		proto.Merge(reply, r)
	}
	return err
}

func newTestRouter(o *fakeOwners, opts ...Option) *Router {
	o.calls = map[netip.AddrPort]int{}
	find := func(d string) (netip.AddrPort, bool) {
		if d == "a" {
			return addrA, true
		}
		return addrB, true
	}
	opts = append([]Option{
		WithOwner(find),
		WithHome(func(string, string) string { return "b" }),
		WithRandom(func() float64 { return 0.5 }),
	}, opts...)
	return New("a", domains, port.Peers{Call: o.call}, opts...)
}

func accepted(j *wire.Job) *wire.SubmitReply {
	return &wire.SubmitReply{Accepted: true, Job: j.GetId()}
}

func busy() *wire.SubmitReply {
	return &wire.SubmitReply{Outcome: &wire.Outcome{Kind: string(fleet.Refused), RetryAfterMillis: 1000}}
}

func TestSubmitRetriesUntilANewOwnerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		o := &fakeOwners{submit: func(_ netip.AddrPort, j *wire.Job) (*wire.SubmitReply, error) {
			if time.Since(start) < 2*time.Second {
				return nil, port.ErrUnsent
			}
			return accepted(j), nil
		}}
		r := newTestRouter(o)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		reply, err := r.Submit(ctx, &wire.Job{Organisation: "org", Key: "k"}, "", "Urgent")
		require.NoError(t, err)
		require.Equal(t, KeyID("b", "org", "k"), reply.GetJob())
		require.Less(t, time.Since(start), 3*time.Second)
		require.Zero(t, o.calls[addrA], "a job with a key is submitted to its home domain only")
	})
}

func TestSubmitDistinguishesUnsentFromUnknown(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		unknown bool
	}{
		{name: "never sent", err: port.ErrUnsent},
		{name: "not the owner", err: ErrNotOwner},
		{name: "answer lost", err: errConnectionLost, unknown: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwners{submit: func(netip.AddrPort, *wire.Job) (*wire.SubmitReply, error) { return nil, c.err }}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, err := newTestRouter(o).Submit(ctx, &wire.Job{Organisation: "org", Key: "k"}, "", "Urgent")
				require.Error(t, err)
				require.Equal(t, c.unknown, errors.Is(err, ErrOutcomeUnknown))
			})
		})
	}
}

func TestSubmitStaysUnknownAfterALostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		o := &fakeOwners{submit: func(netip.AddrPort, *wire.Job) (*wire.SubmitReply, error) {
			n++
			if n == 1 {
				return nil, errConnectionLost
			}
			return nil, port.ErrUnsent
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := newTestRouter(o).Submit(ctx, &wire.Job{Organisation: "org"}, "r", "Normal")
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.Zero(t, o.calls[addrB], "a job that may have started is not submitted to another failure domain")
	})
}

func TestSubmitDivertsTemporarilyRefusedJob(t *testing.T) {
	o := &fakeOwners{submit: func(to netip.AddrPort, j *wire.Job) (*wire.SubmitReply, error) {
		if to == addrA {
			return busy(), nil
		}
		return accepted(j), nil
	}}
	reply, err := newTestRouter(o).Submit(t.Context(), &wire.Job{Organisation: "org"}, "r", "Normal")
	require.NoError(t, err)
	require.Equal(t, RequestID("b", "org", "r"), reply.GetJob())
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{submit: func(netip.AddrPort, *wire.Job) (*wire.SubmitReply, error) { return nil, errConnectionLost }}
		r := newTestRouter(o)
		const requests = 1000
		for range requests {
			_, err := r.Submit(t.Context(), &wire.Job{Organisation: "org", Key: "k"}, "", "Urgent")
			require.Error(t, err)
		}
		require.LessOrEqual(t, float64(o.calls[addrB]), requests*(1+retryRatio)+retryBurst)
	})
}

func TestOrderPrefersTheLocalDomain(t *testing.T) {
	for _, c := range []struct {
		name         string
		local, other time.Duration
		first        string
	}{
		{name: "equal waits", first: "a"},
		{name: "small gain", local: 400 * time.Millisecond, first: "a"},
		{name: "large gain", local: 5 * time.Second, first: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(&fakeOwners{}, WithDomainLoads(func() []DomainLoad {
				return []DomainLoad{
					{Domain: "a", Wait: map[string]time.Duration{"Urgent": c.local}},
					{Domain: "b", Wait: map[string]time.Duration{"Urgent": c.other}, LinkCost: 5 * time.Millisecond},
				}
			}))
			require.Equal(t, c.first, r.domainOrder("Urgent")[0])
		})
	}
}
