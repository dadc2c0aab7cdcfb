package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the store. After any other error except ErrUnsent an append may have been applied.
var (
	// ErrNotExecuted says that the store replied with an error and did not execute the request.
	ErrNotExecuted = errors.New("store did not execute the request")
	// ErrConflict says that the topic did not end at the offset that an append expected.
	ErrConflict = errors.New("topic does not end at the expected offset")
	// ErrStaleEpoch says that the store has seen a higher epoch of the producer.
	ErrStaleEpoch = errors.New("producer has a higher epoch")
	// ErrOutOfSequence says that the sequence number of an append does not follow that of the producer's last one.
	ErrOutOfSequence = errors.New("append is out of sequence")
)

// Topic identifies a topic of the store; a keyed topic retains the newest record of each key indefinitely.
type Topic struct {
	Name    string
	IsKeyed bool
}

// Entry is a record of a topic; in a keyed topic, an entry without a value is a tombstone that deletes its key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Append is a request to add entries to a topic atomically.
type Append struct {
	Topic   Topic
	Entries []Entry
	// IsConditional appends the entries only if the topic ends at the offset At.
	IsConditional bool
	At            int64
	// Producer makes retries idempotent and fences producers with a lower epoch; an empty one does neither.
	Producer string
	Epoch    int64
	Sequence int64
}

// Appended is the result of an append: First is the offset of the first added entry and End the end of the topic.
type Appended struct {
	First int64
	End   int64
}

// Entries is a range of consecutive records; First is the oldest retained offset and End the one after the newest.
type Entries struct {
	First   int64
	End     int64
	Entries []Entry
	// Skipped counts the records of the range that cannot be read and are not among Entries, and Next is the offset after the range;
	// zero if Entries tell it.
	Skipped int
	Next    int64
}

// Newest is a page of the newest records of all keys; the next page starts after the key Next, unless Next is empty.
type Newest struct {
	Entries []Entry
	End     int64
	Next    string
	// Skipped counts the records of the page that cannot be read and are not among Entries.
	Skipped int
}

// Store is the client of the platform's store.
type Store struct {
	// Append adds entries; retrying it with the same sequence is idempotent.
	Append func(ctx context.Context, a Append) (Appended, error)
	// Read returns the records starting at an offset, and waits up to wait for the first one. It returns ErrExpired together
	// with Entries.First when the offset is no longer retained.
	Read func(ctx context.Context, t Topic, from int64, wait time.Duration) (Entries, error)
	// Newest returns the newest record of each key greater than after, ordered by key.
	Newest func(ctx context.Context, t Topic, after string) (Newest, error)
}
