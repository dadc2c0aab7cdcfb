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

// usagePropagation is the time until the owners of other failure domains know of a start: a heartbeat, a digest and another
// heartbeat.
const usagePropagation = 300*time.Millisecond + 2*time.Second + 300*time.Millisecond

// publishQuota publishes an organisation with a quota of accelerators.
func (c *cluster) publishQuota(org string, quota int) {
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

func TestQuotaAppliesAcrossFailureDomains(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.publishQuota("pier", 24)
		q := entry.JobRequest{
			Organisation: "pier", Profile: "audit", Work: encodeWork(40*time.Second, 10), RunTimeMillis: 40_000, Shape: shapeWith(16),
		}
		_, first := c.submit("east-1", q)
		c.awaitStart(first.Job, 2*time.Second)
		time.Sleep(usagePropagation)
		_, second := c.submit("west-1", q)
		time.Sleep(20 * time.Second)
		require.Empty(t, c.countStarts(second.Job), "16 of 24 accelerators are in use in the other failure domain")
		small := q
		small.Shape = shapeWith(8)
		_, third := c.submit("north-1", small)
		c.awaitStart(third.Job, 2*time.Second)
		require.Equal(t, string(fleet.Done), c.awaitOutcome("east-1", first.Job, 30*time.Second).GetKind())
		c.awaitStart(second.Job, usagePropagation+time.Second)
	})
}
