package mirror

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Kept returns the jobs without an outcome that this host and its live peers hold.
//
// Jobs are returned even with an error, which means that a peer did not answer.
func (r *Replica) Kept(ctx context.Context) ([]fleet.Job, error) {
	err := r.fetchPeers(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Job
	for _, e := range r.entries {
		if e.outcome == nil {
			out = append(out, JobFromWire(e.job))
		}
	}
	return out, err
}

// Join copies the jobs and outcomes of the live peers before the host becomes ready.
func (r *Replica) Join(ctx context.Context) error {
	return r.fetchPeers(ctx)
}

// Fold applies a record of accepted and ended jobs; it restores the jobs when no live peer holds them.
func (r *Replica) Fold(_ uint64, at time.Time, rec *wire.Record) {
	b := rec.GetJobs()
	if b == nil || b.GetDomain() != r.domain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range b.GetAccepted() {
		r.foldAccepted(j, at)
	}
	for _, id := range b.GetEnded() {
		r.foldEnded(id)
	}
}

func (r *Replica) foldAccepted(j *wire.Job, at time.Time) {
	if e, ok := r.entries[j.GetId()]; ok {
		e.logged = true
		e.loggedAt = at
		return
	}
	r.put(j.GetId(), &entry{job: j, at: at, logged: true, loggedAt: at})
}

func (r *Replica) foldEnded(id string) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if e.outcome == nil {
		r.drop(id)
		return
	}
	e.endLogged = true
}
