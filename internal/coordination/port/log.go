package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrExpired says that the log no longer keeps the records from the asked offset.
var ErrExpired = errors.New("log records have expired")

// Record is one entry of the platform's log.
type Record struct {
	Offset uint64
	At     time.Time
	Data   []byte
}

// Page is a run of records; First is the oldest offset that the log keeps and Next the one after the newest.
type Page struct {
	First   uint64
	Next    uint64
	Records []Record
}

// Log reaches the platform's append-only log; the first offset is 1.
type Log struct {
	// Append adds records in order and returns the offset of the first; after an error they may still be there.
	Append func(ctx context.Context, data [][]byte) (uint64, error)
	// Read returns up to limit records from an offset on, waiting up to wait for the first, or ErrExpired with Page.First.
	Read func(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
