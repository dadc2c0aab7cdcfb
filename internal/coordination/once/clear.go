package once

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

// maxVerdicts bounds the decisions of operators whose verdict is remembered.
const maxVerdicts = 64

// ErrNoVerdict says that a decision is in the log, but that its verdict is not known on this host.
var ErrNoVerdict = errors.New("the verdict of the log is not known on this host")

// ErrDomainNotExist says that no failure domain has the name.
type ErrDomainNotExist struct {
	Domain string
	Known  []string
}

// Error lists the failure domains that exist.
func (e ErrDomainNotExist) Error() string {
	return fmt.Sprintf("failure domain %s does not exist; configured are %s", e.Domain, strings.Join(e.Known, ", "))
}

// ErrNothingMissing says that hosts of the failure domain hold all claims by the last marker in the log.
type ErrNothingMissing struct {
	Domain string
	// Until is the time up to which the marker holds.
	Until time.Time
}

// Error names the marker's time.
func (e ErrNothingMissing) Error() string {
	return fmt.Sprintf("hosts of %s hold all claims by a marker that holds until %s", e.Domain, e.Until.UTC().Format(time.RFC3339))
}

// Clearing is an operator's decision that no claims of a failure domain are missing; ID makes a repeat idempotent.
type Clearing struct {
	ID       string
	Domain   string
	Operator string
	Reason   string
}

// Cleared is a decision as the log holds it.
type Cleared struct {
	Clearing
	// At is the log's own time.
	At time.Time
}

// Clear writes an operator's decision into the log and returns it once it was read back and folded.
//
// ErrDomainNotExist and ErrNothingMissing refuse it; after any error of the log it may be in force, now or later, unless
// the error says that nothing was written.
func (b *Book) Clear(ctx context.Context, q Clearing) (Cleared, error) {
	if !slices.Contains(b.domains, q.Domain) {
		return Cleared{}, ErrDomainNotExist{Domain: q.Domain, Known: b.domains}
	}
	r := &wire.Record{
		Id:         clearID(q.Domain, q.ID),
		Host:       b.host,
		UnixMillis: b.clock.Now().UnixMilli(),
		Body: &wire.Record_Marker{Marker: &wire.OnceMarker{
			Domain: q.Domain, Cleared: true, Operator: q.Operator, Reason: q.Reason,
		}},
	}
	offset, err := b.append(ctx, r)
	if err != nil {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, err)
	}
	if err := b.awaitFolded(ctx, offset); err != nil {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, err)
	}
	b.mu.Lock()
	v, ok := b.clears.find(r.GetId())
	b.mu.Unlock()
	if !ok {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, ErrNoVerdict)
	}
	v.cleared.ID = q.ID
	return v.cleared, v.err
}

func clearID(domain, id string) string {
	return "once/" + domain + "/clear/" + id
}

// verdict is what became of a decision in the log.
type verdict struct {
	id      string
	cleared Cleared
	err     error
}

// clears judges operators' decisions for all failure domains, by the markers that the log holds before them.
type clears struct {
	// until is the latest time that a marker in the log promises, by failure domain.
	until    map[string]time.Time
	verdicts []verdict
}

// fold takes a marker of the log and returns an error for a decision that is not in force.
//
// While a marker holds, hosts of its group are there to fill the others; a decision would only take the group away.
func (c *clears) fold(id string, at time.Time, m *wire.OnceMarker, isOff bool) error {
	d := m.GetDomain()
	if !m.GetCleared() {
		if u := time.UnixMilli(m.GetUntilUnixMillis()); c.until[d].Before(u) {
			c.note(d, u)
		}
		return nil
	}
	v := verdict{id: id, cleared: Cleared{
		Clearing: Clearing{Domain: d, Operator: m.GetOperator(), Reason: m.GetReason()},
		At:       at,
	}}
	if u := c.until[d]; at.Before(u) && !isOff {
		v.err = ErrNothingMissing{Domain: d, Until: u}
	}
	c.verdicts = append(c.verdicts, v)
	c.verdicts = c.verdicts[max(0, len(c.verdicts)-maxVerdicts):]
	return v.err
}

func (c *clears) note(domain string, until time.Time) {
	if c.until == nil {
		c.until = map[string]time.Time{}
	}
	c.until[domain] = until
}

func (c *clears) find(id string) (verdict, bool) {
	for _, v := range slices.Backward(c.verdicts) {
		if v.id == id {
			return v, true
		}
	}
	return verdict{}, false
}
