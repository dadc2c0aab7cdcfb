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

var eventsAll = events.Filter{}

func registration(key string) entry.JobRequest {
	return entry.JobRequest{
		Organisation: "harbour",
		Profile:      "registration",
		Key:          key,
		Shape:        &wire.Shape{Tasks: 2, Accelerators: 1, Adjacent: string(fleet.LevelRack)},
		Work:         work(500*time.Millisecond, 1000),
	}
}

func TestRequestIsServedByAnyHost(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for name := range c.hosts {
			status, v := c.submit(name, registration("string-"+name))
			require.Equal(t, http.StatusAccepted, status, "%+v", v.Outcome)
			o := c.await(name, v.Job, 10*time.Second)
			require.Equal(t, string(fleet.Done), o.GetKind(), o.GetReason())
			var want []byte
			for n := range 2 {
				want = append(want, standin.Answer(v.Job, n, 1000)...)
			}
			require.Equal(t, want, c.answer(name, v.Job))
			require.Len(t, c.starts(v.Job), 2)
		}
	})
}

func shapeOf(tasks int) *wire.Shape {
	return &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)}
}

func TestEveryHostKnowsTheLoadOfEveryDomain(t *testing.T) {
	inCluster(t, func(c *cluster) {
		fill := entry.JobRequest{
			Organisation: "quay", Profile: "audit", Work: work(time.Minute, 10), RunTimeMillis: 60000, Shape: shapeOf(32),
		}
		_, v := c.submit("east-2", fill)
		c.started(v.Job, 5*time.Second)
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
