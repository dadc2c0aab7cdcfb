package dedup

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

// maxClearResults is the number of operators' decisions whose result is kept.
const maxClearResults = 64

// ErrClearResultUnknown is returned when a decision is in the log but this host does not know its result.
var ErrClearResultUnknown = errors.New("the decision is in the log and this host does not know its result")

// ErrDomainNotExist is returned when no failure domain of that name is configured.
type ErrDomainNotExist struct {
	Domain string
	Known  []string
}

// Error returns the message with the configured failure domains.
func (e ErrDomainNotExist) Error() string {
	return fmt.Sprintf("failure domain %s does not exist; configured are %s", e.Domain, strings.Join(e.Known, ", "))
}

// ErrNothingMissing is returned when the newest marker in the log is valid, so that hosts of its group hold all claims.
type ErrNothingMissing struct {
	Domain string
	// Until is when the marker expires.
	Until time.Time
}

// Error returns the message with the marker's expiry.
func (e ErrNothingMissing) Error() string {
	return fmt.Sprintf("hosts of %s hold all claims: the newest marker expires at %s", e.Domain, e.Until.UTC().Format(time.RFC3339))
}

// ClearRequest is an operator's decision that no claims of a failure domain count as missing; ID makes a repeat idempotent.
type ClearRequest struct {
	ID       string
	Domain   string
	Operator string
	Reason   string
}

// Cleared is a decision as recorded in the log.
type Cleared struct {
	ClearRequest
	// At is the log's time of the record.
	At time.Time
}

// Clear writes an operator's decision to the log and returns it once it has been read back and folded.
//
// The decision is rejected with ErrDomainNotExist or ErrNothingMissing. After any error of the log it may take effect, now or
// later, unless the error says that nothing was written.
func (l *Ledger) Clear(ctx context.Context, q ClearRequest) (Cleared, error) {
	if !slices.Contains(l.domains, q.Domain) {
		return Cleared{}, ErrDomainNotExist{Domain: q.Domain, Known: l.domains}
	}
	r := &wire.Record{
		Id:         clearID(q.Domain, q.ID),
		Host:       l.host,
		UnixMillis: l.clock.Now().UnixMilli(),
		Body: &wire.Record_Marker{Marker: &wire.OnceMarker{
			Domain: q.Domain, Cleared: true, Operator: q.Operator, Reason: q.Reason,
		}},
	}
	offset, err := l.appendRecord(ctx, r)
	if err != nil {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, err)
	}
	if err := l.awaitFolded(ctx, offset); err != nil {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, err)
	}
	l.mu.Lock()
	v, ok := l.clearings.find(r.GetId())
	l.mu.Unlock()
	if !ok {
		return Cleared{}, fmt.Errorf("clear claims of %s: %w", q.Domain, ErrClearResultUnknown)
	}
	v.cleared.ID = q.ID
	return v.cleared, v.err
}

func clearID(domain, id string) string {
	return "once/" + domain + "/clear/" + id
}

// clearResult is the result of a decision in the log; err is nil if it took effect.
type clearResult struct {
	id      string
	cleared Cleared
	err     error
}

// clearings accepts or rejects operators' decisions of all failure domains, by the markers that precede them in the log.
type clearings struct {
	// until is the latest expiry of a marker in the log, by failure domain.
	until   map[string]time.Time
	results []clearResult
}

// fold applies a marker of the log and returns an error for a rejected decision.
//
// While a marker is valid, hosts of its group can fill the others, so that a decision is rejected: it would only waive the group.
func (c *clearings) fold(id string, at time.Time, m *wire.OnceMarker, isOff bool) error {
	d := m.GetDomain()
	if !m.GetCleared() {
		if u := time.UnixMilli(m.GetUntilUnixMillis()); c.until[d].Before(u) {
			c.setUntil(d, u)
		}
		return nil
	}
	v := clearResult{id: id, cleared: Cleared{
		ClearRequest: ClearRequest{Domain: d, Operator: m.GetOperator(), Reason: m.GetReason()},
		At:           at,
	}}
	if u := c.until[d]; at.Before(u) && !isOff {
		v.err = ErrNothingMissing{Domain: d, Until: u}
	}
	c.results = append(c.results, v)
	c.results = c.results[max(0, len(c.results)-maxClearResults):]
	return v.err
}

func (c *clearings) setUntil(domain string, until time.Time) {
	if c.until == nil {
		c.until = map[string]time.Time{}
	}
	c.until[domain] = until
}

func (c *clearings) find(id string) (clearResult, bool) {
	for _, v := range slices.Backward(c.results) {
		if v.id == id {
			return v, true
		}
	}
	return clearResult{}, false
}
