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

// fakeLog is an in-memory log that delivers records to its readers and can simulate failures.
type fakeLog struct {
	mu      sync.Mutex
	records []entry
	first   uint64
	readers []*reader
	isDown  bool
	// losesAnswer reports whether the response to the next append is lost after the record was stored.
	losesAnswer func() bool
	// delay is how long an append takes before the record is stored.
	delay func() time.Duration
}

type entry struct {
	offset uint64
	at     time.Time
	data   []byte
}

// reader is a host that reads the log unless it is cut off.
type reader struct {
	policy    *Policy
	isCut     bool
	nextIndex int
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		first:       1,
		losesAnswer: func() bool { return false },
		delay:       func() time.Duration { return 0 },
	}
}

// startHost starts a host that reads the log from the first record that has not expired.
func (l *fakeLog) startHost(opts ...Option) (*Policy, *reader) {
	isUnsent := func(err error) bool { return errors.Is(err, errDown) }
	p := New(append([]Option{WithAppend(l.append, isUnsent)}, opts...)...)
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &reader{policy: p, nextIndex: int(l.first - 1)}
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
	if l.losesAnswer() {
		return 0, errLost
	}
	return o, nil
}

func (l *fakeLog) deliver() {
	for _, r := range l.readers {
		for !r.isCut && r.nextIndex < len(l.records) {
			e := l.records[r.nextIndex]
			r.nextIndex++
			var w wire.Record
			if proto.Unmarshal(e.data, &w) == nil {
				r.policy.Fold(e.offset, e.at, &w)
			}
		}
	}
}

// setCut sets whether a reader is cut off from the log; one that no longer is gets the records that it missed.
func (l *fakeLog) setCut(r *reader, isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.isCut = isCut
	l.deliver()
}

// expire drops records older than d.
func (l *fakeLog) expire(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for int(l.first) <= len(l.records) && time.Since(l.records[l.first-1].at) > d {
		l.first++
	}
}

func organisationItem(t require.TestingT, name string, weight int, version uint64) config.Item {
	b, err := json.Marshal(config.Organisation{Name: name, Weight: weight})
	require.NoError(t, err)
	return config.Item{Kind: config.KindOrganisation, Name: name, Version: version, JSON: b}
}

func newRequest(id, operator string, is ...config.Item) Request {
	return Request{ID: id, Operator: operator, Reason: "test", Items: is}
}

func weight(p *Policy, name string) int {
	return p.Config().Organisations[name].Weight
}

// mustPublish publishes a change that has to be accepted.
func mustPublish(t *testing.T, p *Policy, q Request) config.Change {
	c, err := p.Publish(t.Context(), q)
	require.NoError(t, err)
	return c
}
