package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the store; after any other error but ErrUnsent an append may have been done.
var (
	// ErrNotDone says that the store answered and did nothing.
	ErrNotDone = errors.New("store did nothing")
	// ErrConflict says that the topic did not end at the offset that an append expected.
	ErrConflict = errors.New("topic ends elsewhere")
	// ErrEpoch says that the producer was seen with a higher epoch.
	ErrEpoch = errors.New("producer has a higher epoch")
	// ErrSequence says that an append does not follow the last one of its producer.
	ErrSequence = errors.New("append is out of sequence")
)

// Topic names a topic of the store; of a keyed one the newest record of each key is kept for good.
type Topic struct {
	Name    string
	IsKeyed bool
}

// Entry is one record of a topic; one of a keyed topic without a value drops its key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Append adds entries to a topic, all or nothing.
type Append struct {
	Topic   Topic
	Entries []Entry
	// IsConditional appends only when the topic ends at the offset At.
	IsConditional bool
	At            int64
	// Producer makes repeats idempotent and fences lower epochs off; empty means neither.
	Producer string
	Epoch    int64
	Sequence int64
}

// Appended is where the entries stand.
type Appended struct {
	First int64
	End   int64
}

// Entries is a run of records; First is the oldest offset kept and End the one after the newest.
type Entries struct {
	First   int64
	End     int64
	Entries []Entry
}

// Newest is a page of the newest records of all keys; the page after it starts after Next, if there is one.
type Newest struct {
	Entries []Entry
	End     int64
	Next    string
}

// Store reaches the platform's store.
type Store struct {
	// Append adds entries; repeating it under the same sequence changes nothing.
	Append func(ctx context.Context, a Append) (Appended, error)
	// Read returns the records from an offset on, waiting for the first, or ErrExpired with Entries.First.
	Read func(ctx context.Context, t Topic, from int64, wait time.Duration) (Entries, error)
	// Newest returns the newest record of each key after a key, in the order of the keys.
	Newest func(ctx context.Context, t Topic, after string) (Newest, error)
}
