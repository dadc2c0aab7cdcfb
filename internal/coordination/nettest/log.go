package nettest

import (
	"context"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// ErrDown is what the log answers when it is down or its answer is lost.
var ErrDown = errors.New("log is down")

// Log is an append-only log in memory with the faults of the platform's.
type Log struct {
	mu        sync.Mutex
	records   []port.Record
	first     uint64
	isDown    bool
	isLossy   bool
	isBlocked bool
	slow      time.Duration
	changed   chan struct{}
	appends   []time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{first: 1, changed: make(chan struct{})}
}

// SetDown makes all calls fail.
func (l *Log) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
	l.notify()
}

// SetBlocked makes all calls hang until their context ends.
func (l *Log) SetBlocked(isBlocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isBlocked = isBlocked
}

// SetLossy lets appends take effect while their answer is lost.
func (l *Log) SetLossy(isLossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLossy = isLossy
}

// SetSlow delays each answer.
func (l *Log) SetSlow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// Expire drops the records before first.
func (l *Log) Expire(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[first-l.first:]
	l.first = first
}

// Truncate drops the records from next on, which a log never should.
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

// Appends returns when append calls came.
func (l *Log) Appends() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.appends...)
}

// Port returns how a host reaches the log.
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

func (l *Log) state() (isDown, isBlocked bool, slow time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDown, l.isBlocked, l.slow
}

func (l *Log) enter(ctx context.Context) error {
	isDown, isBlocked, slow := l.state()
	if isDown {
		return ErrDown
	}
	if isBlocked {
		<-ctx.Done()
		return ctx.Err()
	}
	return clock.System().Sleep(ctx, slow)
}

func (l *Log) append(ctx context.Context, data [][]byte) (uint64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.System().Now()
	l.appends = append(l.appends, now)
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
	if err := l.enter(ctx); err != nil {
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
