package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrExpired says that the records at the requested offset are no longer retained.
var ErrExpired = errors.New("log records have expired")

// Record is an entry of the platform's log.
type Record struct {
	Offset uint64
	At     time.Time
	Data   []byte
}

// Page is a range of consecutive records; First is the oldest offset that the log retains and Next the one after the newest.
type Page struct {
	First   uint64
	Next    uint64
	Records []Record
}

// Log is the client of the platform's append-only log; the first offset is 1.
type Log struct {
	// Append adds records in order and returns the offset of the first; after an error they may have been added nevertheless.
	Append func(ctx context.Context, data [][]byte) (uint64, error)
	// Read returns up to limit records starting at an offset, and waits up to wait for the first one. It returns ErrExpired
	// together with Page.First when the offset is no longer retained.
	Read func(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
