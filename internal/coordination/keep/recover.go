package keep

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Kept returns the jobs without an outcome that this host and its live peers hold.
//
// Jobs are returned even with an error, which means that a peer did not answer.
func (k *Keeper) Kept(ctx context.Context) ([]fleet.Job, error) {
	err := k.fetchPeers(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []fleet.Job
	for _, e := range k.entries {
		if e.outcome == nil {
			out = append(out, JobFromWire(e.job))
		}
	}
	return out, err
}

// Join copies the jobs and outcomes of the live peers before the host becomes ready.
func (k *Keeper) Join(ctx context.Context) error {
	return k.fetchPeers(ctx)
}

// Fold applies a record of accepted and ended jobs; it restores the jobs when no live peer holds them.
func (k *Keeper) Fold(_ uint64, at time.Time, rec *wire.Record) {
	b := rec.GetJobs()
	if b == nil || b.GetDomain() != k.domain {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range b.GetAccepted() {
		k.foldAccepted(j, at)
	}
	for _, id := range b.GetEnded() {
		k.foldEnded(id)
	}
}

func (k *Keeper) foldAccepted(j *wire.Job, at time.Time) {
	if e, ok := k.entries[j.GetId()]; ok {
		e.logged = true
		e.loggedAt = at
		return
	}
	k.put(j.GetId(), &entry{job: j, at: at, logged: true, loggedAt: at})
}

func (k *Keeper) foldEnded(id string) {
	e, ok := k.entries[id]
	if !ok {
		return
	}
	if e.outcome == nil {
		k.drop(id)
		return
	}
	e.endLogged = true
}
