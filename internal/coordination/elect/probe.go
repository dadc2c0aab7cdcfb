package elect

import (
	"context"
	"time"
)

const (
	// probeAfter is how long other hosts hear no renewal before they ask the owner itself for the state of its term.
	probeAfter = 650 * time.Millisecond
	// probeTimeout is how long the owner may take to answer.
	probeTimeout = 300 * time.Millisecond
)

// TermState is what a host tells others of its term.
type TermState struct {
	Lifetime string
	// Term is zero if the host does not own the jobs.
	Term int64
	// IsFailing is set once a renewal was refused or timed out, until one is confirmed. It is not set while the store only
	// takes long to confirm one.
	IsFailing bool
}

// WithProbe sets the function that asks the owner for the state of its term, so that a term whose owner has stopped, has
// restarted or cannot renew is over before its renewals have been missing for long.
func WithProbe(f func(ctx context.Context, o Owner) (TermState, error)) Option {
	return func(e *Election) { e.probe = f }
}

// Term returns the state of this host's term.
func (e *Election) Term() TermState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := TermState{Lifetime: e.self.Lifetime, IsFailing: e.isRenewalFailing}
	if e.isOwner() {
		out.Term = e.owner.Term
	}
	return out
}

// hasOwnerGone asks the owner for its term once its renewals are missing, and reports whether the term is over. Claiming is
// safe in any case, since the store accepts a claim only if no record has come since.
func (e *Election) hasOwnerGone(ctx context.Context) bool {
	e.mu.Lock()
	owner, isTermUnknown, silent := e.owner, e.isTermUnknown, e.clock.Since(e.lastHeard)-e.claimDelay
	e.mu.Unlock()
	if e.probe == nil || owner.Term == 0 || silent < probeAfter {
		return false
	}
	if owner.Host == e.self.Host {
		// A host runs once, so the former lifetime of this one has ended.
		return owner.Lifetime != e.self.Lifetime
	}
	x, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t, err := e.probe(x, owner)
	if ctx.Err() != nil {
		return false
	}
	isOtherTerm := t.Term == 0 || t.Term != owner.Term && !isTermUnknown
	isGone := err != nil || t.Lifetime != owner.Lifetime || isOtherTerm || t.IsFailing
	if !isGone && isTermUnknown {
		e.learnTerm(owner, t.Term)
	}
	if isGone {
		cause := "its term is over"
		if err != nil {
			cause = err.Error()
		}
		e.log.Info("owner is gone", "Owner", owner.Host, "Term", owner.Term, "Silent", silent.Round(time.Millisecond).String(),
			"Cause", cause, "Failing", t.IsFailing)
	}
	return isGone
}

// learnTerm sets the term of an owner whose claim was not read, unless another record has come since.
func (e *Election) learnTerm(o Owner, term int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner == o {
		e.owner.Term, e.isTermUnknown = term, false
	}
}
