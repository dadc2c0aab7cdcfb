package daemon

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/pkg/errors"
)

// buildConfig makes the fold of the configuration and the way in which operators change it.
func (d *Daemon) buildConfig() {
	d.policy = policy.New(
		policy.WithClock(d.clock),
		policy.WithEvents(d.ring),
		policy.WithScope(d.scope),
		policy.WithChanged(d.noteConfig),
		policy.WithAppend(d.appendChange, isUnsent),
		policy.WithMembers(d.policyMembers),
		policy.WithRank(d.rank),
	)
	d.config = d.policy.State()
}

func (d *Daemon) appendChange(ctx context.Context, r *wire.Record) (uint64, error) {
	return d.stream.Append(ctx, r)
}

// isUnsent reports whether a record that failed to be appended never will be in the log.
func isUnsent(err error) bool {
	return errors.Is(err, stream.ErrLogDown) || errors.Is(err, stream.ErrNoID)
}

// policyMembers lists the live hosts of all failure domains with the configuration that they have in force.
func (d *Daemon) policyMembers() []policy.Member {
	var ms []policy.Member
	for _, h := range d.hostViews() {
		ms = append(ms, policy.Member{Name: h.Name, Domain: h.Domain, Offset: h.ConfigOffset})
	}
	return ms
}

// rank is the place of this host among all live ones, by name.
func (d *Daemon) rank() int {
	n := 0
	for _, h := range d.hostViews() {
		if h.Name < d.settings.Host.Name {
			n++
		}
	}
	return n
}

// operators returns the handler for operators.
func (d *Daemon) operators() *oper.Server {
	return &oper.Server{
		Policy: d.policy,
		Keys:   oper.NewKeys(d.settings.Operators.KeyFile),
		Scope:  d.scope,
	}
}
