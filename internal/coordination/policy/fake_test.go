package policy

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

var (
	errDown = errors.New("log is down")
	errLost = errors.New("answer was lost")
)

// fakeLog keeps records in memory and hands them to its readers, unless told to fail.
type fakeLog struct {
	mu      sync.Mutex
	records []entry
	first   uint64
	readers []*reader
	isDown  bool
	// loses reports whether the answer to the next append is lost after it took effect.
	loses func() bool
	// delay is how long an append takes before its effect.
	delay func() time.Duration
}

type entry struct {
	offset uint64
	at     time.Time
	data   []byte
}

// reader is one host that follows the log, unless it is cut off.
type reader struct {
	policy *Policy
	isCut  bool
	next   int
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		first: 1,
		loses: func() bool { return false },
		delay: func() time.Duration { return 0 },
	}
}

// host starts a policy on the log; a host that starts late reads what the log still keeps.
func (l *fakeLog) host(opts ...Option) (*Policy, *reader) {
	isUnsent := func(err error) bool { return errors.Is(err, errDown) }
	p := New(append([]Option{WithAppend(l.append, isUnsent)}, opts...)...)
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &reader{policy: p, next: int(l.first - 1)}
	l.readers = append(l.readers, r)
	if l.first > 1 {
		p.State().MarkGap(1, l.first)
	} else {
		p.State().MarkReadFromStart()
	}
	l.deliver()
	return p, r
}

func (l *fakeLog) append(_ context.Context, r *wire.Record) (uint64, error) {
	time.Sleep(l.delay())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return 0, errDown
	}
	b, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	o := uint64(len(l.records) + 1)
	l.records = append(l.records, entry{offset: o, at: time.Now(), data: b})
	l.deliver()
	if l.loses() {
		return 0, errLost
	}
	return o, nil
}

func (l *fakeLog) deliver() {
	for _, r := range l.readers {
		for !r.isCut && r.next < len(l.records) {
			e := l.records[r.next]
			r.next++
			var w wire.Record
			if proto.Unmarshal(e.data, &w) == nil {
				r.policy.Fold(e.offset, e.at, &w)
			}
		}
	}
}

func (l *fakeLog) cut(r *reader, isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.isCut = isCut
	l.deliver()
}

// expire drops the records that are older than d.
func (l *fakeLog) expire(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for int(l.first) <= len(l.records) && time.Since(l.records[l.first-1].at) > d {
		l.first++
	}
}

func org(t require.TestingT, name string, weight int, version uint64) config.Item {
	b, err := json.Marshal(config.Organisation{Name: name, Weight: weight})
	require.NoError(t, err)
	return config.Item{Kind: config.KindOrganisation, Name: name, Version: version, JSON: b}
}

func ask(id, operator string, is ...config.Item) Request {
	return Request{ID: id, Operator: operator, Reason: "test", Items: is}
}

func weight(p *Policy, name string) int {
	return p.Config().Organisations[name].Weight
}

func must(t *testing.T, p *Policy, q Request) config.Change {
	c, err := p.Publish(t.Context(), q)
	require.NoError(t, err)
	return c
}
