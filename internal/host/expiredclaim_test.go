package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// ownerTopic holds the claims and renewals of the owner.
var ownerTopic = port.Topic{Name: "owner"}

// TestHostThatMissedTheClaimLeavesOwnerAlone guards against a healthy owner that is replaced by every host that starts late, or comes back
// late, to read its claim: the store keeps the renewals of the last seconds alone.
func TestHostThatMissedTheClaimLeavesOwnerAlone(t *testing.T) {
	// The renewals come every 400 ms, so that the hosts start at different times between two of them.
	for i := range 8 {
		t.Run(fmt.Sprintf("started %d ms later", 50*i), func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
				s.advance(3*time.Second + time.Duration(50*i)*time.Millisecond)
				o := s.owner()
				term := s.hosts[o].elect.Owner().Term
				cut := s.anyOther(o)
				s.store.SetUnresponsive(cut, true)
				s.advance(5 * time.Second)
				s.store.Expire(ownerTopic)
				s.advance(500 * time.Millisecond)
				s.start("d")
				s.store.SetUnresponsive(cut, false)
				s.advance(5 * time.Second)
				require.Equal(t, o, s.owner())
				require.Equal(t, term, s.hosts[o].elect.Owner().Term, "the ownership was claimed anew")
				require.True(t, s.hosts[o].elect.IsOwner())
				s.kill(o)
				s.advance(3 * time.Second)
				require.NotEqual(t, o, s.owner())
				require.NotEmpty(t, s.owner())
			})
		})
	}
}
