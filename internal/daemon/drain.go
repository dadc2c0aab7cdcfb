package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/state/config"
)

// stopInterval separates two looks at the planned stops of this host.
const stopInterval = time.Second

// drain says whether the host still takes new requests.
type drain struct {
	// ending is set for good once the process ends, and stopped while a planned stop of the host lasts.
	ending  atomic.Bool
	stopped atomic.Bool
}

func newDrain() *drain {
	return &drain{}
}

func (d *drain) isLeaving() bool {
	return d.ending.Load() || d.stopped.Load()
}

// watchStop drains the host while a planned stop of it lasts, so that nothing is in flight when the machine goes.
func (d *Daemon) watchStop(ctx context.Context) error {
	for d.clock.Sleep(ctx, stopInterval) == nil {
		isStopped := d.isStopped(d.clock.Now())
		if isStopped == d.drain.stopped.Load() || d.drain.ending.Load() {
			continue
		}
		if isStopped {
			d.drain.stopped.Store(true)
			d.log.Info("draining for a planned stop", "Host", d.settings.Host.Name)
			d.members.Leave(ctx)
			continue
		}
		d.drain.stopped.Store(false)
		d.log.Info("planned stop has ended", "Host", d.settings.Host.Name)
		d.members.SetState(member.Ready)
	}
	return ctx.Err()
}

func (d *Daemon) isStopped(now time.Time) bool {
	for _, s := range d.config.Config().Stops {
		if s.Kind == config.StopHost && s.Target == d.settings.Host.Name && !now.Before(s.From) && now.Before(s.Until) {
			return true
		}
	}
	return false
}
