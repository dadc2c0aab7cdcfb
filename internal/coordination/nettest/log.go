package nettest

import (
	"context"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// ErrDown is returned by a call when the log is down or the answer is lost.
var ErrDown = errors.New("log is down")

// Log is an in-memory append-only log that injects the faults of the platform's log.
type Log struct {
	mu          sync.Mutex
	records     []port.Record
	first       uint64
	isDown      bool
	isLossy     bool
	isBlocked   bool
	delay       time.Duration
	changed     chan struct{}
	appendTimes []time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{first: 1, changed: make(chan struct{})}
}

// SetDown sets whether all calls fail.
func (l *Log) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
	l.notify()
}

// SetBlocked sets whether calls block until their context is done.
func (l *Log) SetBlocked(isBlocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isBlocked = isBlocked
}

// SetLossy sets whether appends take effect but return ErrDown.
func (l *Log) SetLossy(isLossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLossy = isLossy
}

// SetSlow sets the delay of each call.
func (l *Log) SetSlow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Expire drops the records before first.
func (l *Log) Expire(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[first-l.first:]
	l.first = first
}

// Truncate drops the records from offset next on, as a log that loses acknowledged records would.
func (l *Log) Truncate(next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:next-l.first]
}

// Next returns the offset after the newest record.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next()
}

// Appends returns the times of the append calls.
func (l *Log) Appends() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.appendTimes...)
}

// Port returns the port through which a host uses the log.
func (l *Log) Port() port.Log {
	return port.Log{Append: l.append, Read: l.read}
}

func (l *Log) next() uint64 {
	return l.first + uint64(len(l.records))
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) faults() (isDown, isBlocked bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDown, l.isBlocked, l.delay
}

func (l *Log) beginCall(ctx context.Context) error {
	isDown, isBlocked, delay := l.faults()
	if isDown {
		return ErrDown
	}
	if isBlocked {
		<-ctx.Done()
		return ctx.Err()
	}
	return clock.System().Sleep(ctx, delay)
}

func (l *Log) append(ctx context.Context, data [][]byte) (uint64, error) {
	if err := l.beginCall(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.System().Now()
	l.appendTimes = append(l.appendTimes, now)
	first := l.next()
	for _, d := range data {
		l.records = append(l.records, port.Record{Offset: l.next(), At: now, Data: append([]byte(nil), d...)})
	}
	l.notify()
	if l.isLossy {
		return 0, ErrDown
	}
	return first, nil
}

func (l *Log) read(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if err := l.beginCall(ctx); err != nil {
		return port.Page{}, err
	}
	end := clock.System().After(wait)
	for {
		l.mu.Lock()
		p := port.Page{First: l.first, Next: l.next()}
		changed, isDown := l.changed, l.isDown
		if from >= l.first && from < p.Next {
			rs := l.records[from-l.first:]
			p.Records = append([]port.Record(nil), rs[:min(limit, len(rs))]...)
		}
		l.mu.Unlock()
		switch {
		case isDown:
			return port.Page{}, ErrDown
		case from < p.First:
			return p, port.ErrExpired
		case len(p.Records) > 0 || wait <= 0:
			return p, nil
		}
		select {
		case <-changed:
		case <-end:
			return p, nil
		case <-ctx.Done():
			return port.Page{}, ctx.Err()
		}
	}
}
