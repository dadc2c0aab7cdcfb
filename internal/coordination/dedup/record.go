package dedup

import (
	"context"
	"fmt"
	"strings"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

var errLogDown = errors.New("log is down")

// record returns a record without a body; its id is derived from the parts, which makes a repeated append idempotent.
func (l *Ledger) record(parts ...string) *wire.Record {
	return &wire.Record{
		Id:         "once/" + l.domain + "/" + strings.Join(parts, "/"),
		Host:       l.host,
		UnixMillis: l.clock.Now().UnixMilli(),
	}
}

// advanceFold sets the offset up to which the log has been folded and wakes the waiters; the caller holds the lock.
func (l *Ledger) advanceFold(offset uint64) {
	if offset <= l.foldedOffset {
		return
	}
	l.foldedOffset = offset
	close(l.foldAdvanced)
	l.foldAdvanced = make(chan struct{})
}

// appendAndReadBack appends a record and waits until the log has been folded up to it.
func (l *Ledger) appendAndReadBack(ctx context.Context, r *wire.Record) error {
	c, cancel := context.WithTimeout(ctx, l.bounds.Log)
	defer cancel()
	offset, err := uint64(0), errLogDown
	if l.isUp() {
		offset, err = l.appendRecord(c, r)
	}
	l.mu.Lock()
	l.logFailed = err != nil
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("append to the log: %w", err)
	}
	if l.disabled.readBack {
		return nil
	}
	return l.awaitFolded(c, offset)
}

// awaitFolded waits until the log has been folded up to an offset.
func (l *Ledger) awaitFolded(ctx context.Context, offset uint64) error {
	for {
		l.mu.Lock()
		done := l.foldedOffset >= offset
		moved := l.foldAdvanced
		l.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ErrClaimsMissing{Why: "timed out reading the record back from the log"}
		}
	}
}
