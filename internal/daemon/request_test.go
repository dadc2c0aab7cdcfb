package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/stretchr/testify/require"
)

var allEvents = events.Filter{}

func registration(key string) entry.JobRequest {
	return entry.JobRequest{
		Organisation: "harbour",
		Profile:      "registration",
		Key:          key,
		Shape:        &wire.Shape{Tasks: 2, Accelerators: 1, Adjacent: string(fleet.LevelRack)},
		Work:         encodeWork(500*time.Millisecond, 1000),
	}
}

func TestAnyHostServesRequests(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		for name := range c.hosts {
			status, v := c.submit(name, registration("string-"+name))
			require.Equal(t, http.StatusAccepted, status, "%+v", v.Outcome)
			o := c.awaitOutcome(name, v.Job, 10*time.Second)
			require.Equal(t, string(fleet.Done), o.GetKind(), o.GetReason())
			var want []byte
			for n := range 2 {
				want = append(want, standin.Answer(v.Job, n, 1000)...)
			}
			require.Equal(t, want, c.getAnswer(name, v.Job))
			require.Len(t, c.countStarts(v.Job), 2)
		}
	})
}

func shapeWith(tasks int) *wire.Shape {
	return &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)}
}

func TestEveryHostKnowsLoadOfEveryDomain(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		fill := entry.JobRequest{
			Organisation: "quay", Profile: "audit", Work: encodeWork(time.Minute, 10), RunTimeMillis: 60000, Shape: shapeWith(32),
		}
		_, v := c.submit("east-2", fill)
		c.awaitStart(v.Job, 5*time.Second)
		c.eventually(10*time.Second, "load of east on all hosts", func() bool {
			for _, h := range c.hosts {
				if h.daemon.settings.Host.Domain == "east" && h.daemon.members.Load().FreeAccelerators != 0 {
					return false
				}
				for _, x := range h.daemon.members.FindDomains() {
					if x.Accelerators != 32 || (x.Domain == "east") != (x.FreeAccelerators == 0) {
						return false
					}
				}
			}
			return true
		})
	})
}
