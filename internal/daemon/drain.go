package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/state/config"
)

// plannedStopInterval is the time between two checks for a planned stop of this host.
const plannedStopInterval = time.Second

// drainState tracks whether the host is draining and takes no new requests.
type drainState struct {
	// shuttingDown is set when the process starts to end and is never cleared. plannedStop is set during a planned stop of
	// the host.
	shuttingDown atomic.Bool
	plannedStop  atomic.Bool
}

func newDrainState() *drainState {
	return &drainState{}
}

func (d *drainState) isDraining() bool {
	return d.shuttingDown.Load() || d.plannedStop.Load()
}

// watchPlannedStop drains the host during a planned stop, so that no request is in flight when the machine stops.
func (d *Daemon) watchPlannedStop(ctx context.Context) error {
	for d.clock.Sleep(ctx, plannedStopInterval) == nil {
		hasStop := d.hasPlannedStop(d.clock.Now())
		if hasStop == d.drain.plannedStop.Load() || d.drain.shuttingDown.Load() {
			continue
		}
		if hasStop {
			d.drain.plannedStop.Store(true)
			d.log.Info("draining for a planned stop", "Host", d.settings.Host.Name)
			d.members.Leave(ctx)
			continue
		}
		d.drain.plannedStop.Store(false)
		d.log.Info("planned stop has ended", "Host", d.settings.Host.Name)
		d.members.SetState(member.Ready)
	}
	return ctx.Err()
}

func (d *Daemon) hasPlannedStop(now time.Time) bool {
	for _, s := range d.config.Config().Stops {
		if s.Kind == config.StopHost && s.Target == d.settings.Host.Name && !now.Before(s.From) && now.Before(s.Until) {
			return true
		}
	}
	return false
}
