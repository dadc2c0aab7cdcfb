package sched

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// refreshWorkers reads the list of workers, passes changed leaving states to the planner, and starts to inspect workers
// that the planner does not know.
func (r *ownership) refreshWorkers() {
	listed := map[string]fleet.Worker{}
	for _, w := range r.s.listWorkers() {
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
	var newWorkers []fleet.Worker
	for _, w := range listed {
		if !r.pendingInspection[w.Name] {
			r.pendingInspection[w.Name] = true
			newWorkers = append(newWorkers, w)
		}
	}
	if len(newWorkers) > 0 {
		r.tasks.Go(func() { r.inspectUntilAnswered(newWorkers) })
	}
}

// putWorker adds or updates a worker that has answered in this term.
func (r *ownership) putWorker(w fleet.Worker) {
	delete(r.pendingInspection, w.Name)
	r.s.setAddr(w.Name, w.Addr)
	if r.plannedWorkers[w.Name] == w {
		return
	}
	r.plannedWorkers[w.Name] = w
	r.planner.PutWorker(w)
	r.isChanged = true
}

// dropWorker removes a lost worker from the planner; the watches of its gangs end their attempts.
func (r *ownership) dropWorker(name string) {
	delete(r.plannedWorkers, name)
	r.planner.DropWorker(name)
	r.isChanged = true
}

// stopOrphans stops and forgets the tasks that an aborted attempt left on a worker.
func (r *ownership) stopOrphans(p fleet.Report) {
	n, err := r.s.gangs.Sweep(r.ctx, r.term, p.Worker.Name, p)
	if err != nil {
		r.s.scope.Counter("sched_sweeps_failed").Inc(1)
		return
	}
	r.s.scope.Counter("sched_tasks_swept").Inc(int64(n))
}

// Workers lists the workers of the failure domain with their use.
func (s *Scheduler) Workers(ctx context.Context, _ *wire.Empty, reply *wire.WorkersReply) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	var vs []plan.WorkerView
	var sum plan.Summary
	err = r.runInLoop(ctx, func() {
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
