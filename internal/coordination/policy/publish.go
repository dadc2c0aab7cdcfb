package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
)

// Request is a change requested by an operator.
type Request struct {
	// ID is the idempotency key.
	ID       string
	Operator string
	Reason   string
	Items    []config.Item
	// From is the time at which a planned change takes effect; zero means at once.
	From time.Time
	// Force accepts the change even if it breaks a promised notice, which is then recorded.
	Force bool
}

func (q Request) change() config.Change {
	return config.Change{ID: q.ID, Operator: q.Operator, Reason: q.Reason, Items: q.Items, From: q.From}
}

// Publish appends a change to the log and returns it once it is accepted in log order.
//
// After an error that is neither a refusal nor one for which the record was not sent, the outcome is unknown; repeating
// the request with the same ID resolves it.
func (p *Policy) Publish(ctx context.Context, q Request) (config.Change, error) {
	if c, ok := p.state.GetChange(q.ID); ok {
		return c, p.verdictError(q, c)
	}
	if err := p.checkWritable(); err != nil {
		return config.Change{}, fmt.Errorf("publish %s: %w", q.ID, err)
	}
	p.awaitVersions(ctx, q)
	c, err := p.prepare(q)
	if err != nil {
		p.scope.Counter("config_refused").Inc(1)
		return c, fmt.Errorf("publish %s: %w", q.ID, err)
	}
	if _, err := p.append(ctx, config.NewRecord(c)); err != nil {
		return p.resolveAppendError(q, c, err)
	}
	return p.awaitVerdict(ctx, q)
}

// checkWritable returns an error while no change may be accepted: until the state is complete, and after the log has
// lost records.
func (p *Policy) checkWritable() error {
	if err := p.state.Ready(); err != nil {
		return err
	}
	if p.state.IsTruncated() {
		return ErrLogTruncated
	}
	return nil
}

// awaitVersions waits until this host has applied the versions that the request names, which the operator may have read
// on another host.
func (p *Policy) awaitVersions(ctx context.Context, q Request) {
	var newest uint64
	for _, i := range q.Items {
		newest = max(newest, i.Version)
	}
	// If this host does not catch up in time, the log order decides.
	_ = p.waitFor(ctx, func() bool { return p.state.Next() > newest })
}

// waitFor waits until a condition on the state holds, and returns ErrNotFolded if it does not in time.
func (p *Policy) waitFor(ctx context.Context, condition func() bool) error {
	timeout := p.clock.After(p.foldWait)
	for {
		wake := p.state.Updated()
		if condition() {
			return nil
		}
		select {
		case <-wake:
		case <-timeout:
			return ErrNotFolded
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotFolded, ctx.Err())
		}
	}
}

// prepare validates the change against the whole configuration, and marks a forced change that breaks a promised
// notice.
func (p *Policy) prepare(q Request) (config.Change, error) {
	c := q.change()
	for _, i := range q.Items {
		if i.Remove {
			continue
		}
		if err := config.CheckKeys(i.Kind, i.JSON); err != nil {
			return c, config.ErrInvalid{Problems: []string{err.Error()}}
		}
	}
	before := p.state.Config()
	after, err := before.WithChange(p.rebase(before, c))
	if err != nil {
		return c, p.describeConflict(c, err)
	}
	if err := p.checkFit(before, after, c); err != nil {
		return c, err
	}
	now := p.clock.Now()
	from := q.From
	if from.Before(now) {
		from = now
	}
	err = p.checkNotice(now, before, after, from)
	var soon notice.ErrTooSoon
	switch {
	case err == nil:
		return c, nil
	case !errors.As(err, &soon) || !q.Force:
		return c, err
	}
	c.Forced = true
	return c, p.markStopsForced(&c)
}

// rebase sets the versions of created resources to the ones that this host knows, so that the change passes validation
// although a resource of that name still exists here.
//
// The log order decides whether that resource was removed before; any other version conflict is already certain.
func (p *Policy) rebase(before config.Config, c config.Change) config.Change {
	c.Offset = p.state.Next()
	is := make([]config.Item, len(c.Items))
	copy(is, c.Items)
	for n, i := range is {
		if i.Version == 0 {
			is[n].Version = before.Version(i.Kind, i.Name)
		}
	}
	c.Items = is
	return c
}

// markStopsForced sets Forced in the stops of a forced change.
func (p *Policy) markStopsForced(c *config.Change) error {
	is := make([]config.Item, len(c.Items))
	copy(is, c.Items)
	for n, i := range is {
		if i.Kind != config.KindStop || i.Remove {
			continue
		}
		var s config.Stop
		if err := json.Unmarshal(i.JSON, &s); err != nil {
			return fmt.Errorf("decode stop %s: %w", i.Name, err)
		}
		s.Forced = true
		b, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("encode stop %s: %w", i.Name, err)
		}
		is[n].JSON = b
	}
	c.Items = is
	return nil
}

// checkFit returns ErrNotFit if the guarantees do not fit the workers. If the guarantees in force no longer fit either,
// a change that increases those of no failure domain is accepted, so that operators can reduce them step by step.
func (p *Policy) checkFit(before, after config.Config, c config.Change) error {
	if !hasProfile(c) {
		return nil
	}
	ws := p.workers()
	err := p.checkGuarantees(ws, profiles(after))
	if err == nil {
		return nil
	}
	if p.checkGuarantees(ws, profiles(before)) != nil && guaranteesNoMore(before, after) {
		return nil
	}
	return ErrNotFit{Why: err}
}

func hasProfile(c config.Change) bool {
	for _, i := range c.Items {
		if i.Kind == config.KindProfile {
			return true
		}
	}
	return false
}

func profiles(c config.Config) []config.Profile {
	out := make([]config.Profile, 0, len(c.Profiles))
	for _, p := range c.Profiles {
		out = append(out, p)
	}
	return out
}

// guaranteesNoMore reports whether no failure domain has more guaranteed accelerators after the change than before.
func guaranteesNoMore(before, after config.Config) bool {
	b, a := guaranteedByDomain(before), guaranteedByDomain(after)
	for d, n := range a {
		if n > b[d] {
			return false
		}
	}
	return true
}

// guaranteedByDomain returns the number of guaranteed accelerators per failure domain.
func guaranteedByDomain(c config.Config) map[string]int {
	out := map[string]int{}
	for _, p := range c.Profiles {
		for _, g := range p.Guarantees {
			out[g.Domain] += g.Gangs * g.Shape.TotalAccelerators()
		}
	}
	return out
}

// resolveAppendError returns the verdict on a change whose append failed if it was read back nevertheless, otherwise
// the error.
func (p *Policy) resolveAppendError(q Request, c config.Change, err error) (config.Change, error) {
	if known, ok := p.state.GetChange(c.ID); ok {
		return known, p.verdictError(q, known)
	}
	if !p.isUnsent(err) {
		p.scope.Counter("config_unknown").Inc(1)
	}
	return c, fmt.Errorf("append change %s: %w", c.ID, err)
}

// awaitVerdict waits until this host has applied the change and returns the verdict on it.
func (p *Policy) awaitVerdict(ctx context.Context, q Request) (config.Change, error) {
	var c config.Change
	err := p.waitFor(ctx, func() bool {
		var ok bool
		c, ok = p.state.GetChange(q.ID)
		return ok
	})
	if err != nil {
		return q.change(), fmt.Errorf("publish %s: %w", q.ID, err)
	}
	return c, p.verdictError(q, c)
}

// verdictError converts the verdict of the log order to the error returned to the operator; nil means accepted.
func (p *Policy) verdictError(q Request, c config.Change) error {
	if !isSameRequest(q, c) {
		return fmt.Errorf("publish %s: %w", q.ID, ErrIDReused)
	}
	if err := c.Err(); err != nil {
		return fmt.Errorf("publish %s: %w", q.ID, p.describeConflict(c, err))
	}
	return nil
}

// isSameRequest compares the resources and whether each is removed. It ignores versions, since a repeat may name a
// newer version than the first attempt.
func isSameRequest(q Request, c config.Change) bool {
	if len(q.Items) != len(c.Items) {
		return false
	}
	for n, i := range q.Items {
		j := c.Items[n]
		if i.Kind != j.Kind || i.Name != j.Name || i.Remove != j.Remove {
			return false
		}
	}
	return true
}

// describeConflict adds to a version conflict the operator whose change came first and the differences.
func (p *Policy) describeConflict(c config.Change, err error) error {
	var conflict config.ErrVersionConflict
	if !errors.As(err, &conflict) {
		return err
	}
	if conflict.By == "" {
		conflict.By = p.state.LastOperator(conflict.Kind, conflict.Name)
	}
	e := ErrConflict{Conflict: conflict}
	for _, i := range c.Items {
		if i.Kind != conflict.Kind || i.Name != conflict.Name {
			continue
		}
		current, err := p.state.Config().Resource(i.Kind, i.Name)
		if err != nil {
			return e
		}
		// The conflict is reported without differences if the resources cannot be compared.
		e.Differences, _ = config.Diff(current, i.JSON)
	}
	return e
}
