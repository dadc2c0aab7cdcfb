package host

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/pkg/errors"
)

var errNoOwner = errors.New("no host owns the jobs")

// States of a host in the host list for operators.
const (
	stateListed   = "Listed"
	stateReady    = "Ready"
	stateNotReady = "NotReady"
	stateLeaving  = "Leaving"
)

// statusServer returns the status server for operators.
func (h *Host) statusServer() *status.Server {
	return &status.Server{
		Name: h.settings.Host.Name, Metrics: h.metrics, Events: h.events, Hosts: h.listHosts, Workers: h.fetchWorkers,
		Evacuations: h.listEvacuations,
		Ready: func() string {
			if err := h.CheckReady(); err != nil {
				return err.Error()
			}
			return ""
		},
	}
}

// listHosts returns the hosts in the store's host list, with the state of this host.
func (h *Host) listHosts() []status.HostView {
	var out []status.HostView
	owner := h.elect.Owner().Host
	for _, x := range h.hosts.FindAll() {
		v := status.HostView{Name: x.Name, Domain: x.Domain, Addr: x.Addr.String(), State: stateListed, Owner: x.Name == owner}
		if x.Name == h.settings.Host.Name {
			v.State, v.LastHeard = h.state(), h.clock.Now()
			if c := h.intake.Config(); c != nil {
				v.ConfigOffset = uint64(c.Version)
			}
		}
		out = append(out, v)
	}
	return out
}

func (h *Host) state() string {
	switch {
	case h.leaving.Load():
		return stateLeaving
	case h.CheckReady() != nil:
		return stateNotReady
	default:
		return stateReady
	}
}

// listWorkers lists the workers that this host tracks, if it owns the jobs.
func (h *Host) listWorkers(_ context.Context, _ *wire.Empty, r *wire.WorkersReply) error {
	e := h.engine.Load()
	if e == nil {
		return fmt.Errorf("list workers at %s: %w", h.settings.Host.Name, errNoOwner)
	}
	for _, v := range e.FindWorkers() {
		r.Workers = append(r.Workers, &wire.WorkerStatus{
			Name: v.Worker.Name, Domain: v.Worker.Domain, Rack: v.Worker.Rack, Addr: v.Worker.Addr.String(), State: v.State,
			Slots: int32(v.Worker.Slots), SlotsUsed: int32(v.SlotsUsed), Accelerators: int32(v.Worker.Accelerators),
			AcceleratorsUsed: int32(v.AcceleratorsUsed), Reason: v.Reason,
		})
	}
	return nil
}

// listEvacuations lists the evacuated failure domains, with what the owner counts there.
func (h *Host) listEvacuations(ctx context.Context) status.EvacuationsView {
	var out status.EvacuationsView
	xs := h.evacuations.Load().Find()
	if len(xs) == 0 {
		return out
	}
	r, err := h.fetchWorkers(ctx)
	if err != nil {
		r, out.Why = &wire.WorkersReply{}, err.Error()
	}
	for _, x := range xs {
		v := status.EvacuationView{Domain: x.Domain, Since: x.Since}
		for _, w := range r.GetWorkers() {
			if w.GetDomain() == x.Domain {
				v.Workers++
				v.Tasks += int(w.GetSlotsUsed())
				v.Accelerators += int(w.GetAcceleratorsUsed())
			}
		}
		out.Evacuations = append(out.Evacuations, v)
	}
	return out
}

// fetchWorkers lists the workers that the owner tracks.
func (h *Host) fetchWorkers(ctx context.Context) (*wire.WorkersReply, error) {
	var r wire.WorkersReply
	if h.engine.Load() != nil {
		return &r, h.listWorkers(ctx, nil, &r)
	}
	o := h.elect.Owner()
	if !o.Addr.IsValid() || o.Addr == h.settings.Listen.Peer {
		return nil, errNoOwner
	}
	if err := h.deps.Peers.Call(ctx, o.Addr, "Owner.Workers", &wire.Empty{}, &r); err != nil {
		return nil, fmt.Errorf("fetch workers from owner %s: %w", o.Host, err)
	}
	return &r, nil
}
