package host

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveRequest serves one caller's request at a host.
func (s *site) serveRequest(host string, v intake.Verb, id string) (intake.Reply, error) {
	q := intake.Request{Verb: v, Host: "h", Path: "/quiet/" + id, Key: "k", Timeout: 3 * time.Second}
	if v == intake.Submit {
		q.Job = &jobs.Job{Spec: id, Steps: []jobs.Step{taskStep(1)}}
	}
	return s.hosts[host].relay.Serve(s.t.Context(), q)
}

// TestHostRefusedByStoreForwardsRequests checks that a host that permanently cannot use the store serves its
// callers through another host.
func TestHostRefusedByStoreForwardsRequests(t *testing.T) {
	tests := map[string]func(s *site, host string){
		"refused":      func(s *site, h string) { s.store.SetRejected(h, true) },
		"unresponsive": func(s *site, h string) { s.store.SetUnresponsive(h, true) },
	}
	for name, setFault := range tests {
		t.Run(name, func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
				s.advance(2 * time.Second)
				h := s.otherHost(s.owner())
				setFault(s, h)
				for i, after := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
					s.advance(after)
					id := []string{"a0", "a1", "a2", "a3"}[i] + "00000000000000"
					begin := time.Now()
					_, err := s.serveRequest(h, intake.Submit, id)
					require.NoError(t, err, "after %s", after)
					require.Less(t, time.Since(begin), 1500*time.Millisecond)
					s.advance(4 * time.Second)
					p, err := s.serveRequest(h, intake.Look, id)
					require.NoError(t, err)
					require.Equal(t, intake.Completed, p.Progress)
				}
				require.Equal(t, 4, s.runners.Starts())
				require.Empty(t, s.runners.Faults())
			})
		})
	}
}

// otherHost returns a live host other than the given one.
func (s *site) otherHost(but string) string {
	for _, n := range s.liveHosts() {
		if n != but {
			return n
		}
	}
	return ""
}

// TestOwnerRefusedByStoreForwardsRequests checks that an owner that cannot use the store forwards requests to another host,
// although it does not know the next owner yet.
func TestOwnerRefusedByStoreForwardsRequests(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		o := s.owner()
		s.store.SetRejected(o, true)
		_, err := s.serveRequest(o, intake.Submit, testJobID)
		require.NoError(t, err)
		s.ids = append(s.ids, testJobID)
		s.advance(6 * time.Second)
		p, err := s.serveRequest(o, intake.Look, testJobID)
		require.NoError(t, err)
		require.Equal(t, intake.Completed, p.Progress)
	})
}

// TestRequestFailsFastWhenNoHostReachesStore checks that a request is refused as busy and never runs when no host reaches
// the store, and that the next request does not wait again for hosts that have just refused.
func TestRequestFailsFastWhenNoHostReachesStore(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for _, n := range s.liveHosts() {
			s.store.SetRejected(n, true)
		}
		var busy intake.ErrBusy
		_, err := s.serveRequest("a", intake.Submit, testJobID)
		require.ErrorAs(t, err, &busy)
		require.Positive(t, busy.RetryAfter)
		begin := time.Now()
		_, err = s.serveRequest("a", intake.Submit, "00000000000000bb")
		require.ErrorAs(t, err, &busy)
		require.Less(t, time.Since(begin), 100*time.Millisecond)
		for _, n := range s.liveHosts() {
			s.store.SetRejected(n, false)
		}
		s.advance(10 * time.Second)
		require.Zero(t, s.runners.Starts())
	})
}

// TestLostAnswerToForwardedRequest forwards a request to a host whose write succeeds but whose answer from the store is lost. If
// the third host can be reached, the request succeeds there; otherwise its outcome is unknown.
func TestLostAnswerToForwardedRequest(t *testing.T) {
	for _, isThirdCut := range []bool{false, true} {
		t.Run(fmt.Sprintf("third host cut %t", isThirdCut), func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
				s.advance(2 * time.Second)
				o := s.owner()
				h := s.otherHost(o)
				for _, n := range s.liveHosts() {
					s.cut[[2]string{h, n}] = isThirdCut && n != o
				}
				s.store.SetRejected(h, true)
				s.store.SetLossy(o, true, 2*time.Second)
				_, err := s.serveRequest(h, intake.Submit, testJobID)
				if isThirdCut {
					require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
				} else {
					require.NoError(t, err)
				}
				s.store.SetLossy(o, false, 0)
				s.advance(15 * time.Second)
				require.Equal(t, 1, s.runners.Starts())
				require.Empty(t, s.runners.Faults())
			})
		})
	}
}

// TestHostsAcceptJobsAfterStoreRefusalEnds checks that hosts accept jobs again after the store refused all of them
// while callers submitted jobs.
func TestHostsAcceptJobsAfterStoreRefusalEnds(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for _, n := range s.liveHosts() {
			s.store.SetRejected(n, true)
		}
		var asked sync.WaitGroup
		for i, n := range s.liveHosts() {
			asked.Go(func() {
				var busy intake.ErrBusy
				assert.ErrorAs(t, s.submit(n, fmt.Sprintf("%016x", i), "quiet", taskStep(1)), &busy)
			})
		}
		asked.Wait()
		s.advance(2 * time.Second)
		for _, n := range s.liveHosts() {
			s.store.SetRejected(n, false)
		}
		s.advance(2 * time.Second)
		for i, n := range s.liveHosts() {
			require.NoError(t, s.submit(n, fmt.Sprintf("%016x", 10+i), "quiet", taskStep(1)), "at %s", n)
		}
	})
}

// TestLaterRefusalDoesNotHideUnknownOutcome guards against a false refusal. One host answers that the outcome is
// unknown, and the next one, which has a newer configuration, refuses the caller's key.
func TestLaterRefusalDoesNotHideUnknownOutcome(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		h := s.otherHost(s.owner())
		s.store.SetRejected(h, true)
		asked := 0
		codes := []wire.TakeCode{wire.TakeCode_TAKE_CODE_UNKNOWN, wire.TakeCode_TAKE_CODE_NO_KEY}
		for a, p := range s.peers {
			p.served.Take = func(_ context.Context, _ *wire.TakeRequest, r *wire.TakeReply) error {
				r.Code = codes[asked]
				asked++
				return nil
			}
			s.peers[a] = p
		}
		_, err := s.serveRequest(h, intake.Submit, testJobID)
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		require.Equal(t, 2, asked)
	})
}

// TestRequestIsNotForwardedToOlderConfiguration checks that a request is not forwarded to hosts with an older configuration.
func TestRequestIsNotForwardedToOlderConfiguration(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		h := s.otherHost(s.owner())
		newer := *testConfig
		newer.Version++
		s.hosts[h].intake.SetConfig(&newer)
		s.store.SetRejected(h, true)
		_, err := s.serveRequest(h, intake.Submit, testJobID)
		var busy intake.ErrBusy
		require.ErrorAs(t, err, &busy)
		for _, n := range s.liveHosts() {
			s.hosts[n].intake.SetConfig(&newer)
		}
		s.advance(2 * time.Second)
		_, err = s.serveRequest(h, intake.Submit, testJobID)
		require.NoError(t, err)
	})
}
