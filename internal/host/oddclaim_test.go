package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// oddClaims returns values for the topic of the owner that no host writes.
func oddClaims(t *testing.T) map[string][]byte {
	t.Helper()
	encode := func(m *wire.LeadRecord) []byte {
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		return b
	}
	return map[string][]byte{
		"empty":                nil,
		"not a message":        []byte("\xff\xff"),
		"text":                 []byte(`{"host":"a"}`),
		"no address":           encode(&wire.LeadRecord{Host: "x", Lifetime: "y"}),
		"no host":              encode(&wire.LeadRecord{Lifetime: "y", Addr: "10.9.9.9:1"}),
		"no lifetime":          encode(&wire.LeadRecord{Host: "x", Addr: "10.9.9.9:1"}),
		"port zero":            encode(&wire.LeadRecord{Host: "x", Lifetime: "y", Addr: "10.9.9.9:0"}),
		"port out of range":    encode(&wire.LeadRecord{Host: "x", Lifetime: "y", Addr: "10.9.9.9:65536"}),
		"unspecified address":  encode(&wire.LeadRecord{Host: "x", Lifetime: "y", Addr: "0.0.0.0:80"}),
		"released by no host":  encode(&wire.LeadRecord{Released: true}),
		"renewal by no host":   encode(&wire.LeadRecord{Renewal: true}),
		"release without host": encode(&wire.LeadRecord{Released: true, Renewal: true, Addr: "10.9.9.9:1"}),
	}
}

// TestOddClaimLeavesOwnerAlone guards against hosts that neither renew, claim nor follow the ownership any more once a record
// that no host wrote stands in its topic, and against an owner that loses its term by one.
func TestOddClaimLeavesOwnerAlone(t *testing.T) {
	for name, value := range oddClaims(t) {
		t.Run(name, func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
				s.advance(2 * time.Second)
				o := s.owner()
				term := s.hosts[o].elect.Owner().Term
				s.appendOddClaim(value)
				s.advance(3 * time.Second)
				for n, h := range s.hosts {
					require.Equal(t, o, h.elect.Owner().Host, "according to %s", n)
					require.Equal(t, term, h.elect.Owner().Term, "according to %s", n)
				}
				require.NoError(t, s.submit("b", testJobID, "urgent", gangStep(2, 2)))
				s.requireEnded(intake.Completed, 10*time.Second)
				s.kill(o)
				s.appendOddClaim(value)
				s.advance(5 * time.Second)
				require.NotEmpty(t, s.owner())
				require.NotEqual(t, o, s.owner())
				s.start("c")
				s.advance(2 * time.Second)
				require.NoError(t, s.submit("c", "00000000000000ab", "urgent", gangStep(2, 2)))
				s.requireEnded(intake.Completed, 15*time.Second)
			})
		})
	}
}

// TestSteadyOddClaimsLeaveOwnerAlone guards against an owner that another writer keeps from renewing its term: the store accepts a renewal
// only at the end of the topic.
func TestSteadyOddClaimsLeaveOwnerAlone(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
		s.advance(2 * time.Second)
		o := s.owner()
		term := s.hosts[o].elect.Owner().Term
		for range 200 {
			s.appendOddClaim([]byte("\xff\xff"))
			s.advance(50 * time.Millisecond)
		}
		require.Equal(t, o, s.owner())
		require.Equal(t, term, s.hosts[o].elect.Owner().Term)
		require.Less(t, s.hosts[o].clock.Age(s.hosts[o].elect.LastRenewal()), time.Second)
	})
}

// TestOddClaimHidesNoFailedOwner guards against another writer whose records are taken for signs of life of an owner that has
// failed.
func TestOddClaimHidesNoFailedOwner(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
		s.advance(2 * time.Second)
		o := s.owner()
		s.kill(o)
		for range 20 {
			s.appendOddClaim([]byte("\xff\xff"))
			s.advance(200 * time.Millisecond)
		}
		require.NotEmpty(t, s.owner())
		require.NotEqual(t, o, s.owner())
	})
}

func (s *site) appendOddClaim(value []byte) {
	s.t.Helper()
	_, err := s.store.View("other").Append(s.t.Context(), port.Append{Topic: ownerTopic, Entries: []port.Entry{{Value: value}}})
	require.NoError(s.t, err)
}
