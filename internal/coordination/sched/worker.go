package sched

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// refreshWorkers takes in the workers that the members know; one that is no longer listed leaves the books.
func (r *ownership) refreshWorkers() {
	listed := map[string]fleet.Worker{}
	for _, w := range r.s.fleet() {
		listed[w.Name] = w
		r.s.setAddr(w.Name, w.Addr)
	}
	for _, v := range r.planner.FindWorkers() {
		w, ok := listed[v.Worker.Name]
		if ok && w.Leaving != v.Worker.Leaving {
			r.putWorker(w)
		}
		delete(listed, v.Worker.Name)
	}
	var fresh []fleet.Worker
	for _, w := range listed {
		if !r.asking[w.Name] {
			r.asking[w.Name] = true
			fresh = append(fresh, w)
		}
	}
	if len(fresh) > 0 {
		r.tasks.Go(func() { r.askSilent(fresh) })
	}
}

// putWorker books a worker that answers in this term.
func (r *ownership) putWorker(w fleet.Worker) {
	delete(r.asking, w.Name)
	r.s.setAddr(w.Name, w.Addr)
	if r.booked[w.Name] == w {
		return
	}
	r.booked[w.Name] = w
	r.planner.PutWorker(w)
	r.isChanged = true
}

// dropWorker takes a lost worker out of the books; its gangs end through their watches.
func (r *ownership) dropWorker(name string) {
	delete(r.booked, name)
	r.planner.DropWorker(name)
	r.isChanged = true
}

// sweep stops and forgets what an abort left behind on a worker.
func (r *ownership) sweep(p fleet.Report) {
	n, err := r.s.gangs.Sweep(r.ctx, r.term, p.Worker.Name, p)
	if err != nil {
		r.s.scope.Counter("sched_sweeps_failed").Inc(1)
		return
	}
	r.s.scope.Counter("sched_tasks_swept").Inc(int64(n))
}

// Workers lists the books of the failure domain.
func (s *Sched) Workers(ctx context.Context, _ *wire.Empty, reply *wire.WorkersReply) error {
	r, err := s.ready(ctx)
	if err != nil {
		return err
	}
	var vs []plan.WorkerView
	var sum plan.Summary
	err = r.do(ctx, func() {
		vs = r.planner.FindWorkers()
		sum = r.planner.Summary(r.now())
	})
	if err != nil {
		return err
	}
	reply.Term = &wire.Term{Counter: r.term.Counter, Host: r.term.Host}
	reply.Fragmentation = sum.Fragmentation
	for _, v := range vs {
		reply.Workers = append(reply.Workers, workerToWire(v))
	}
	return nil
}

func workerToWire(v plan.WorkerView) *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Name:             v.Worker.Name,
		Domain:           v.Worker.Domain,
		Rack:             v.Worker.Rack,
		Addr:             v.Worker.Addr.String(),
		State:            v.State,
		Slots:            int32(v.Worker.Slots),
		SlotsUsed:        int32(v.SlotsUsed),
		Accelerators:     int32(v.Worker.Accelerators),
		AcceleratorsUsed: int32(v.AcceleratorsUsed),
		Reason:           v.Reason,
	}
}
