package host

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var errTestMalformed = errors.New("malformed")

// decodeTestEvacuation decodes an entry whose key names an evacuated failure domain. Any value but yes is malformed, and none
// withdraws the request.
func decodeTestEvacuation(e port.Entry) (*queue.EvacuationChange, error) {
	d, ok := strings.CutPrefix(e.Key, "evacuate/")
	if !ok {
		return nil, nil
	}
	c := &queue.EvacuationChange{Domain: d, Offset: e.Offset, IsWithdrawn: len(e.Value) == 0}
	if c.IsWithdrawn || string(e.Value) == "yes" {
		return c, nil
	}
	c.IsMalformed = true
	return c, errTestMalformed
}

// operate writes an entry as the operator.
func (s *site) operate(key, value string) {
	a := port.Append{Topic: testOperators, Entries: []port.Entry{{Key: key, Value: []byte(value)}}}
	_, err := s.store.View("operator").Append(s.t.Context(), a)
	require.NoError(s.t, err)
}

// runInEvacuableSite runs f in a site of three hosts and six workers, two in each of the failure domains a, b and c.
func runInEvacuableSite(t *testing.T, f func(s *site)) {
	t.Helper()
	ws := make([]fleet.Worker, 6)
	for i := range ws {
		ws[i] = testWorker(i)
		ws[i].Domain = []string{"a", "b", "c"}[i/2]
	}
	runInSiteWith(t, ws, runsTaking(1500*time.Millisecond), threeHosts, f)
}

// countStartsIn returns the calls that started a task on the workers of a failure domain.
func (s *site) countStartsIn(domain string) int {
	n := 0
	for _, w := range s.workers {
		if w.Domain == domain {
			n += s.countStarts(w)
		}
	}
	return n
}

// submitWave submits jobs that fill all workers at a live host.
func (s *site) submitWave(wave int) {
	for i := range 3 {
		require.NoError(s.t, s.submit(s.liveHosts()[0], fmt.Sprintf("%015x%d", wave+16, i), "quiet", taskStep(24)))
	}
}

// TestEvacuationHoldsThroughFaults guards against starts in an evacuated failure domain from hosts that read the request late, twice or
// only after it had expired from the history of the store, and from the owners that follow them.
func TestEvacuationHoldsThroughFaults(t *testing.T) {
	for name, fail := range map[string]func(s *site, owner string){
		"no fault":        func(*site, string) {},
		"owner is killed": func(s *site, o string) { s.kill(o) },
		"owner leaves": func(s *site, o string) {
			s.stopHost(o)
			delete(s.hosts, o)
		},
		"all hosts are replaced": func(s *site, _ string) {
			for _, h := range s.liveHosts() {
				s.kill(h)
			}
			s.start("d")
		},
		"host starts later and takes over": func(s *site, _ string) {
			s.start("d")
			s.advance(2 * time.Second)
			for _, h := range threeHosts {
				s.kill(h)
			}
		},
		"history expires": func(s *site, _ string) {
			s.setStoreDown(true)
			s.advance(time.Second)
			s.store.Expire(testOperators)
			s.setStoreDown(false)
		},
		"store is slow": func(s *site, _ string) {
			s.store.SetDelay(400 * time.Millisecond)
			s.advance(2 * time.Second)
			s.store.SetDelay(2 * time.Millisecond)
		},
		"malformed entries": func(s *site, _ string) {
			s.operate("evacuate/a", "no")
			s.operate("evacuate/", "no")
		},
		"others are asked for and withdrawn": func(s *site, _ string) {
			s.operate("evacuate/b", "yes")
			s.operate("evacuate/unknown", "yes")
			s.operate("evacuate/b", "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInEvacuableSite(t, func(s *site) {
				s.advance(2 * time.Second)
				s.submitWave(0)
				s.advance(300 * time.Millisecond)
				s.operate("evacuate/a", "yes")
				s.advance(300 * time.Millisecond)
				before, other := s.countStartsIn("a"), s.countStartsIn("b")
				require.Positive(t, before)
				fail(s, s.owner())
				s.advance(6 * time.Second)
				s.submitWave(1)
				s.advance(2 * time.Second)
				require.Equal(t, before, s.countStartsIn("a"))
				v := s.hosts[s.owner()].listEvacuations(s.t.Context())
				require.Equal(t, "a", v.Evacuations[0].Domain)
				require.Equal(t, 2, v.Evacuations[0].Workers)
				require.Zero(t, v.Evacuations[0].Tasks, "the domain is empty by now")
				require.Greater(t, s.countStartsIn("b"), other)
				s.operate("evacuate/a", "")
				s.submitWave(2)
				s.requireEnded(intake.Completed, 60*time.Second)
				require.Greater(t, s.countStartsIn("a"), before, "capacity does not return")
			})
		})
	}
}

// TestWithdrawalIsReadAfterGap guards against a failure domain that stays evacuated at hosts that did not reach the store when the request
// was withdrawn and whose history they missed: the entry is just not there any more.
func TestWithdrawalIsReadAfterGap(t *testing.T) {
	runInEvacuableSite(t, func(s *site) {
		s.advance(2 * time.Second)
		s.operate("evacuate/a", "yes")
		s.operate("evacuate/b", "yes")
		s.advance(time.Second)
		s.setStoreDown(true)
		s.advance(2 * time.Second)
		s.operate("evacuate/a", "")
		s.store.Expire(testOperators)
		s.setStoreDown(false)
		s.advance(5 * time.Second)
		for _, h := range s.hosts {
			require.False(t, h.evacuations.Load().Has("a"))
			require.True(t, h.evacuations.Load().Has("b"))
		}
		s.submitWave(0)
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Positive(t, s.countStartsIn("a"))
		require.Zero(t, s.countStartsIn("b"))
	})
}
