package once

import (
	"context"
	"fmt"
	"strings"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

var errLogDown = errors.New("log is known to be down")

// record returns an empty record whose id is made of its parts, so that repeating its append changes nothing.
func (b *Book) record(parts ...string) *wire.Record {
	return &wire.Record{
		Id:         "once/" + b.domain + "/" + strings.Join(parts, "/"),
		Host:       b.host,
		UnixMillis: b.clock.Now().UnixMilli(),
	}
}

// advance wakes those that wait for a record; the caller holds the lock.
func (b *Book) advance(offset uint64) {
	if offset <= b.folded {
		return
	}
	b.folded = offset
	close(b.moved)
	b.moved = make(chan struct{})
}

// appendAndRead appends a record and waits until the log has been read up to it.
func (b *Book) appendAndRead(ctx context.Context, r *wire.Record) error {
	c, cancel := context.WithTimeout(ctx, b.bounds.Log)
	defer cancel()
	offset, err := uint64(0), errLogDown
	if b.isUp() {
		offset, err = b.append(c, r)
	}
	b.mu.Lock()
	b.logFailed = err != nil
	b.mu.Unlock()
	if err != nil {
		return fmt.Errorf("append to the log: %w", err)
	}
	if b.off.readBack {
		return nil
	}
	return b.awaitFolded(c, offset)
}

// awaitFolded waits until the log has been read up to an offset.
func (b *Book) awaitFolded(ctx context.Context, offset uint64) error {
	for {
		b.mu.Lock()
		done := b.folded >= offset
		moved := b.moved
		b.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ErrMemoryMissing{Why: "the log was not read back in time"}
		}
	}
}
