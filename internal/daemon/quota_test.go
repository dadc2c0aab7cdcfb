package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// usageDelay is the time from a start to the other owners: a heartbeat, a digest and a heartbeat.
const usageDelay = 300*time.Millisecond + 2*time.Second + 300*time.Millisecond

// limit publishes an organisation with a quota of accelerators.
func (c *cluster) limit(org string, quota int) {
	b, err := json.Marshal(config.Organisation{Name: org, Weight: 1, Accelerators: quota})
	require.NoError(c.t, err)
	change := &wire.ConfigChange{Operator: "test", Reason: "test", Items: []*wire.ConfigItem{
		{Kind: "Organisation", Name: org, Json: b},
	}}
	b, err = proto.Marshal(&wire.Record{Id: "quota", Body: &wire.Record_Config{Config: change}})
	require.NoError(c.t, err)
	c.platform.Append([][]byte{b})
	time.Sleep(time.Second)
}

func TestQuotaHoldsOverFailureDomains(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.limit("pier", 24)
		q := entry.JobRequest{
			Organisation: "pier", Profile: "audit", Work: work(40*time.Second, 10), RunTimeMillis: 40_000, Shape: shapeOf(16),
		}
		_, first := c.submit("east-1", q)
		c.started(first.Job, 2*time.Second)
		time.Sleep(usageDelay)
		_, second := c.submit("west-1", q)
		time.Sleep(20 * time.Second)
		require.Empty(t, c.starts(second.Job), "16 of 24 accelerators are in use in the other failure domain")
		small := q
		small.Shape = shapeOf(8)
		_, third := c.submit("north-1", small)
		c.started(third.Job, 2*time.Second)
		require.Equal(t, string(fleet.Done), c.await("east-1", first.Job, 30*time.Second).GetKind())
		c.started(second.Job, usageDelay+time.Second)
	})
}
