package policy

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// ErrNoticeNotExist is returned when no notice in force has the id.
type ErrNoticeNotExist struct {
	ID string
}

// Error includes the id of the notice.
func (e ErrNoticeNotExist) Error() string {
	return fmt.Sprintf("notice %s does not exist", e.ID)
}

// Ack is an operator's confirmation that the clients of a notice were called.
type Ack struct {
	// ID is the idempotency key.
	ID       string
	Notice   string
	Operator string
	Reason   string
}

// AckNotice records that the clients of a notice were called. If the notice is already acknowledged, it is returned
// unchanged.
func (p *Policy) AckNotice(ctx context.Context, a Ack) (config.Notice, error) {
	n, ok := p.Config().Notices[a.Notice]
	if !ok {
		return n, fmt.Errorf("acknowledge: %w", ErrNoticeNotExist{ID: a.Notice})
	}
	if !n.Acked.IsZero() {
		return n, nil
	}
	if err := p.checkWritable(); err != nil {
		return n, fmt.Errorf("acknowledge notice %s: %w", a.Notice, err)
	}
	if _, err := p.append(ctx, config.NewAckRecord(a.ID, a.Notice, a.Operator, a.Reason)); err != nil {
		return n, fmt.Errorf("acknowledge notice %s: %w", a.Notice, err)
	}
	return p.awaitAck(ctx, a)
}

// awaitAck waits until this host has applied the acknowledgement.
func (p *Policy) awaitAck(ctx context.Context, a Ack) (config.Notice, error) {
	var n config.Notice
	err := p.waitFor(ctx, func() bool {
		n = p.Config().Notices[a.Notice]
		return !n.Acked.IsZero()
	})
	if err != nil {
		return n, fmt.Errorf("acknowledge notice %s: %w", a.Notice, err)
	}
	return n, nil
}
