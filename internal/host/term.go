package host

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/coordination/elect"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// describeTerm tells another host the state of the term of this host.
func (h *Host) describeTerm(_ context.Context, _ *wire.Empty, r *wire.LeadState) error {
	x := h.elect.Term()
	r.Lifetime, r.Term, r.Failing = x.Lifetime, x.Term, x.IsFailing
	return nil
}

// probeOwner asks the owner for the state of its term.
func (h *Host) probeOwner(ctx context.Context, o elect.Owner) (elect.TermState, error) {
	var r wire.LeadState
	if err := h.deps.Peers.Call(ctx, o.Addr, "Owner.Lead", &wire.Empty{}, &r); err != nil {
		return elect.TermState{}, fmt.Errorf("probe owner %s: %w", o.Host, err)
	}
	return elect.TermState{Lifetime: r.GetLifetime(), Term: r.GetTerm(), IsFailing: r.GetFailing()}, nil
}
