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

// ask makes one request of a caller at a host.
func (s *site) ask(host string, v intake.Verb, id string) (intake.Reply, error) {
	q := intake.Request{Verb: v, Host: "h", Path: "/quiet/" + id, Key: "k", Timeout: 3 * time.Second}
	if v == intake.Submit {
		q.Job = &jobs.Job{Spec: id, Steps: []jobs.Step{tasks(1)}}
	}
	return s.hosts[host].relay.Serve(s.t.Context(), q)
}

// TestHostThatTheStoreTurnsAwayServesThroughAnother has the store turn one host away for good, whose callers stay there.
func TestHostThatTheStoreTurnsAwayServesThroughAnother(t *testing.T) {
	tests := map[string]func(s *site, host string){
		"refused": func(s *site, h string) { s.store.SetRefused(h, true) },
		"silent":  func(s *site, h string) { s.store.SetSilent(h, true) },
	}
	for name, strike := range tests {
		t.Run(name, func(t *testing.T) {
			inSite(t, takes(time.Second), three, func(s *site) {
				s.wait(2 * time.Second)
				h := s.other(s.owner())
				strike(s, h)
				for i, after := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
					s.wait(after)
					id := []string{"a0", "a1", "a2", "a3"}[i] + "00000000000000"
					begin := time.Now()
					_, err := s.ask(h, intake.Submit, id)
					require.NoError(t, err, "after %s", after)
					require.Less(t, time.Since(begin), 1500*time.Millisecond)
					s.wait(4 * time.Second)
					p, err := s.ask(h, intake.Look, id)
					require.NoError(t, err)
					require.Equal(t, intake.Completed, p.Progress)
				}
				require.Equal(t, 4, s.runners.Starts())
				require.Empty(t, s.runners.Faults())
			})
		})
	}
}

// other returns a live host beside the given one.
func (s *site) other(but string) string {
	for _, n := range s.live() {
		if n != but {
			return n
		}
	}
	return ""
}

// TestOwnerThatTheStoreTurnsAwayServesThroughAnother strikes the owner, which knows no other owner yet.
func TestOwnerThatTheStoreTurnsAwayServesThroughAnother(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		o := s.owner()
		s.store.SetRefused(o, true)
		_, err := s.ask(o, intake.Submit, jobA)
		require.NoError(t, err)
		s.ids = append(s.ids, jobA)
		s.wait(6 * time.Second)
		p, err := s.ask(o, intake.Look, jobA)
		require.NoError(t, err)
		require.Equal(t, intake.Completed, p.Progress)
	})
}

// TestRequestIsRefusedAtOnceWhenNoHostReachesTheStore wants a prompt and true refusal, and none that waits for hosts which
// have just said no.
func TestRequestIsRefusedAtOnceWhenNoHostReachesTheStore(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		for _, n := range s.live() {
			s.store.SetRefused(n, true)
		}
		var busy intake.ErrBusy
		_, err := s.ask("a", intake.Submit, jobA)
		require.ErrorAs(t, err, &busy)
		require.Positive(t, busy.RetryAfter)
		begin := time.Now()
		_, err = s.ask("a", intake.Submit, "00000000000000bb")
		require.ErrorAs(t, err, &busy)
		require.Less(t, time.Since(begin), 100*time.Millisecond)
		for _, n := range s.live() {
			s.store.SetRefused(n, false)
		}
		s.wait(10 * time.Second)
		require.Zero(t, s.runners.Starts())
	})
}

// TestLostAnswerOfAnotherHost has the other host's store do the write and lose the answer: a third host may still answer,
// and without one the outcome is unknown.
func TestLostAnswerOfAnotherHost(t *testing.T) {
	for _, isThirdCut := range []bool{false, true} {
		t.Run(fmt.Sprintf("third host cut %t", isThirdCut), func(t *testing.T) {
			inSite(t, takes(time.Second), three, func(s *site) {
				s.wait(2 * time.Second)
				o := s.owner()
				h := s.other(o)
				for _, n := range s.live() {
					s.cut[[2]string{h, n}] = isThirdCut && n != o
				}
				s.store.SetRefused(h, true)
				s.store.SetLossy(o, true, 2*time.Second)
				_, err := s.ask(h, intake.Submit, jobA)
				if isThirdCut {
					require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
				} else {
					require.NoError(t, err)
				}
				s.store.SetLossy(o, false, 0)
				s.wait(15 * time.Second)
				require.Equal(t, 1, s.runners.Starts())
				require.Empty(t, s.runners.Faults())
			})
		})
	}
}

// TestHostsTakeJobsAgainAfterTheStoreRefusedThem has the store refuse everybody for a while in which callers ask.
func TestHostsTakeJobsAgainAfterTheStoreRefusedThem(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		for _, n := range s.live() {
			s.store.SetRefused(n, true)
		}
		var asked sync.WaitGroup
		for i, n := range s.live() {
			asked.Go(func() {
				var busy intake.ErrBusy
				assert.ErrorAs(t, s.submit(n, fmt.Sprintf("%016x", i), "quiet", tasks(1)), &busy)
			})
		}
		asked.Wait()
		s.wait(2 * time.Second)
		for _, n := range s.live() {
			s.store.SetRefused(n, false)
		}
		s.wait(2 * time.Second)
		for i, n := range s.live() {
			require.NoError(t, s.submit(n, fmt.Sprintf("%016x", 10+i), "quiet", tasks(1)), "at %s", n)
		}
	})
}

// TestRefusalElsewhereDoesNotHideAnUnknownOutcome has one other host lose its answer and the next one, which knows a newer
// configuration, refuse the caller's key.
func TestRefusalElsewhereDoesNotHideAnUnknownOutcome(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		h := s.other(s.owner())
		s.store.SetRefused(h, true)
		asked := 0
		codes := []wire.TakeCode{wire.TakeCode_TAKE_CODE_UNKNOWN, wire.TakeCode_TAKE_CODE_NO_KEY}
		for a, p := range s.takes {
			p.served.Take = func(_ context.Context, _ *wire.TakeRequest, r *wire.TakeReply) error {
				r.Code = codes[asked]
				asked++
				return nil
			}
			s.takes[a] = p
		}
		_, err := s.ask(h, intake.Submit, jobA)
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		require.Equal(t, 2, asked)
	})
}

// TestRequestIsNotPassedOnToAnOlderConfiguration has the other hosts be behind in the configuration.
func TestRequestIsNotPassedOnToAnOlderConfiguration(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		h := s.other(s.owner())
		newer := *testConfig
		newer.Version++
		s.hosts[h].intake.SetConfig(&newer)
		s.store.SetRefused(h, true)
		_, err := s.ask(h, intake.Submit, jobA)
		var busy intake.ErrBusy
		require.ErrorAs(t, err, &busy)
		for _, n := range s.live() {
			s.hosts[n].intake.SetConfig(&newer)
		}
		s.wait(2 * time.Second)
		_, err = s.ask(h, intake.Submit, jobA)
		require.NoError(t, err)
	})
}
