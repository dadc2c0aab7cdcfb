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

// Request is a change that an operator asks for.
type Request struct {
	// ID makes a repeat idempotent.
	ID       string
	Operator string
	Reason   string
	Items    []config.Item
	// From plans the change for a later time; zero means at once.
	From time.Time
	// Force lets the change break a promised notice, and records that.
	Force bool
}

func (q Request) change() config.Change {
	return config.Change{ID: q.ID, Operator: q.Operator, Reason: q.Reason, Items: q.Items, From: q.From}
}

// Publish returns the change once it is in the log and has won, or why it is not in force.
//
// An error that is neither a refusal nor unsent leaves the outcome unknown; repeating the request settles it.
func (p *Policy) Publish(ctx context.Context, q Request) (config.Change, error) {
	if c, ok := p.state.GetChange(q.ID); ok {
		return c, p.verdict(q, c)
	}
	if err := p.check(); err != nil {
		return config.Change{}, fmt.Errorf("publish %s: %w", q.ID, err)
	}
	p.catchUp(ctx, q)
	c, err := p.prepare(q)
	if err != nil {
		p.scope.Counter("config_refused").Inc(1)
		return c, fmt.Errorf("publish %s: %w", q.ID, err)
	}
	if _, err := p.append(ctx, config.NewRecord(c)); err != nil {
		return p.resolve(q, c, err)
	}
	return p.await(ctx, q)
}

func (p *Policy) check() error {
	if err := p.state.Ready(); err != nil {
		return err
	}
	if p.state.IsTruncated() {
		return ErrLogShort
	}
	return nil
}

// catchUp waits for the versions that the operator has seen on another host.
func (p *Policy) catchUp(ctx context.Context, q Request) {
	var newest uint64
	for _, i := range q.Items {
		newest = max(newest, i.Version)
	}
	// A host that stays behind leaves the decision to the log order.
	_ = p.until(ctx, func() bool { return p.state.Next() > newest })
}

// until waits for a condition on the folded state, or returns ErrNotFolded.
func (p *Policy) until(ctx context.Context, isTrue func() bool) error {
	bound := p.clock.After(p.foldWait)
	for {
		wake := p.state.Updated()
		if isTrue() {
			return nil
		}
		select {
		case <-wake:
		case <-bound:
			return ErrNotFolded
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotFolded, ctx.Err())
		}
	}
}

// prepare checks the change against the whole configuration and marks it when it breaks a promise.
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
		return c, p.explain(c, err)
	}
	if err := p.checkFit(before, after, c); err != nil {
		return c, err
	}
	now := p.clock.Now()
	from := q.From
	if from.Before(now) {
		from = now
	}
	err = p.foresee(now, before, after, from)
	var soon notice.ErrTooSoon
	switch {
	case err == nil:
		return c, nil
	case !errors.As(err, &soon) || !q.Force:
		return c, err
	}
	c.Forced = true
	return c, p.markStops(&c)
}

// rebase lets a change that creates a resource be checked although this host still knows one of that name.
//
// The log decides whether the old one was removed before; all other conflicts are certain already.
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

// markStops writes into the stops of a forced change that they were forced.
func (p *Policy) markStops(c *config.Change) error {
	is := make([]config.Item, len(c.Items))
	copy(is, c.Items)
	for n, i := range is {
		if i.Kind != config.KindStop || i.Remove {
			continue
		}
		var s config.Stop
		if err := json.Unmarshal(i.JSON, &s); err != nil {
			return fmt.Errorf("read stop %s: %w", i.Name, err)
		}
		s.Forced = true
		b, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("render stop %s: %w", i.Name, err)
		}
		is[n].JSON = b
	}
	c.Items = is
	return nil
}

// checkFit refuses guarantees that do not fit, but lets operators reduce guarantees that no longer do.
func (p *Policy) checkFit(before, after config.Config, c config.Change) error {
	if !hasProfile(c) {
		return nil
	}
	ws := p.workers()
	err := p.fits(ws, profiles(after))
	if err == nil {
		return nil
	}
	if p.fits(ws, profiles(before)) != nil && isNoMore(before, after) {
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

// isNoMore reports whether no failure domain guarantees more accelerators after than before.
func isNoMore(before, after config.Config) bool {
	b, a := guaranteed(before), guaranteed(after)
	for d, n := range a {
		if n > b[d] {
			return false
		}
	}
	return true
}

func guaranteed(c config.Config) map[string]int {
	out := map[string]int{}
	for _, p := range c.Profiles {
		for _, g := range p.Guarantees {
			out[g.Domain] += g.Gangs * g.Shape.TotalAccelerators()
		}
	}
	return out
}

// resolve says what is known of a change whose append has failed.
func (p *Policy) resolve(q Request, c config.Change, err error) (config.Change, error) {
	if known, ok := p.state.GetChange(c.ID); ok {
		return known, p.verdict(q, known)
	}
	if !p.isUnsent(err) {
		p.scope.Counter("config_unknown").Inc(1)
	}
	return c, fmt.Errorf("append change %s: %w", c.ID, err)
}

// await returns the verdict on a change that is in the log.
func (p *Policy) await(ctx context.Context, q Request) (config.Change, error) {
	var c config.Change
	err := p.until(ctx, func() bool {
		var ok bool
		c, ok = p.state.GetChange(q.ID)
		return ok
	})
	if err != nil {
		return q.change(), fmt.Errorf("publish %s: %w", q.ID, err)
	}
	return c, p.verdict(q, c)
}

// verdict turns what the log order settled into what the operator hears.
func (p *Policy) verdict(q Request, c config.Change) error {
	if !isSameRequest(q, c) {
		return fmt.Errorf("publish %s: %w", q.ID, ErrIDReused)
	}
	if err := c.Err(); err != nil {
		return fmt.Errorf("publish %s: %w", q.ID, p.explain(c, err))
	}
	return nil
}

// isSameRequest compares what is changed; a repeat may name a newer version than the first attempt did.
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

// explain adds to a conflict who won and what differs.
func (p *Policy) explain(c config.Change, err error) error {
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
		held, err := p.state.Config().Resource(i.Kind, i.Name)
		if err != nil {
			return e
		}
		// A resource that cannot be read leaves the operator without differences, not without the conflict.
		e.Differences, _ = config.Diff(held, i.JSON)
	}
	return e
}
