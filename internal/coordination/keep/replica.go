package keep

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	defaultBytes = 32 * fleet.Megabyte
	// defaultLifetime is how long an outcome is kept for a caller that does not acknowledge it.
	defaultLifetime = time.Hour
	callBound       = 500 * time.Millisecond
)

// Errors of a Keeper; all of them say that the job was not accepted.
var (
	// ErrFull says that the kept jobs and answers leave no room for another job.
	ErrFull = errors.New("no room is left for jobs and answers")
	// ErrNoCopy says that no live peer took a copy.
	ErrNoCopy = errors.New("no live peer holds a copy")
)

// Peer is another live and ready host of the failure domain.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// kept is a job or its outcome.
type kept struct {
	job     *wire.Job
	outcome *wire.Outcome
	at      time.Time
	acked   bool
	// logged and endLogged say that the log holds the job and that it ended; written is when a record was last queued.
	logged    bool
	loggedAt  time.Time
	endLogged bool
	written   time.Time
}

func (k *kept) bytes() int {
	return len(k.job.GetWork()) + len(k.outcome.GetAnswer()) + entryBytes
}

// entryBytes is what an entry takes besides work and answer.
const entryBytes = 512

// Keeper holds jobs and outcomes of one failure domain on one host.
type Keeper struct {
	domain   string
	clock    clock.Clock
	peers    func() []Peer
	call     port.Peers
	queue    func(*wire.Record) error
	owner    ownerFunc
	limit    fleet.Bytes
	lifetime time.Duration
	scope    tally.Scope
	// copyOff turns the copies at peers off, for tests.
	copyOff bool

	batches atomic.Uint64
	mu      sync.Mutex
	term    fleet.Term
	entries map[string]*kept
	bytes   int
}

// Option sets one property of a Keeper.
type Option func(*Keeper)

// WithDomain names the failure domain.
func WithDomain(d string) Option {
	return func(k *Keeper) { k.domain = d }
}

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(k *Keeper) { k.clock = c }
}

// WithPeers sets the live peers and how they are called.
func WithPeers(list func() []Peer, p port.Peers) Option {
	return func(k *Keeper) {
		k.peers = list
		k.call = p
	}
}

// WithQueue sets how records reach the log in the background.
func WithQueue(f func(*wire.Record) error) Option {
	return func(k *Keeper) { k.queue = f }
}

// WithBytes bounds the memory of jobs and answers.
func WithBytes(b fleet.Bytes) Option {
	return func(k *Keeper) { k.limit = b }
}

// WithLifetime sets how long an outcome waits for its caller.
func WithLifetime(d time.Duration) Option {
	return func(k *Keeper) { k.lifetime = d }
}

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(k *Keeper) { k.scope = s }
}

// New returns a keeper that holds nothing.
func New(opts ...Option) *Keeper {
	k := &Keeper{
		clock:    clock.System(),
		peers:    func() []Peer { return nil },
		queue:    func(*wire.Record) error { return nil },
		owner:    func() (fleet.Term, bool) { return fleet.Term{}, false },
		limit:    defaultBytes,
		lifetime: defaultLifetime,
		scope:    tally.NoopScope,
		entries:  map[string]*kept{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Put holds jobs here and at a peer before they count as accepted; a host without live peers leaves them to the log.
func (k *Keeper) Put(ctx context.Context, t fleet.Term, js []fleet.Job) error {
	q := &wire.KeepRequest{Term: termToWire(t)}
	for _, j := range js {
		q.Jobs = append(q.Jobs, JobToWire(j))
	}
	if err := k.take(q); err != nil {
		return err
	}
	if err := k.copy(ctx, q); err != nil {
		return fmt.Errorf("copy %d jobs: %w", len(js), err)
	}
	return nil
}

// PutOutcome holds the end of a job here and at a peer; after an error it is held here, and copied later.
func (k *Keeper) PutOutcome(ctx context.Context, t fleet.Term, o *wire.Outcome) error {
	q := &wire.KeepRequest{Term: termToWire(t), Outcomes: []*wire.Outcome{o}}
	if err := k.take(q); err != nil {
		return err
	}
	if err := k.copy(ctx, q); err != nil {
		return fmt.Errorf("copy outcome of %s: %w", o.GetJob(), err)
	}
	return nil
}

// GetOutcome returns how a job ended, if it did.
func (k *Keeper) GetOutcome(id string) (*wire.Outcome, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[id]
	if !ok || e.outcome == nil {
		return nil, false
	}
	return e.outcome, true
}

// Ack drops the answers of jobs whose callers hold them; how they ended stays known.
func (k *Keeper) Ack(ctx context.Context, t fleet.Term, ids []string) error {
	q := &wire.KeepRequest{Term: termToWire(t), Ended: ids}
	if err := k.take(q); err != nil {
		return err
	}
	if err := k.copy(ctx, q); err != nil {
		return fmt.Errorf("copy %d acknowledgements: %w", len(ids), err)
	}
	return nil
}

// take enters a request into the own memory, unless an owner of a higher term has been here.
func (k *Keeper) take(q *wire.KeepRequest) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := fleetTerm(q.GetTerm())
	if t.Less(k.term) {
		return fmt.Errorf("keep in term %s: %w", t, port.ErrFenced)
	}
	k.term = t
	for _, j := range q.GetJobs() {
		if err := k.takeJob(j); err != nil {
			return err
		}
	}
	for _, o := range q.GetOutcomes() {
		k.takeOutcome(o)
	}
	for _, id := range q.GetEnded() {
		k.takeAck(id)
	}
	k.scope.Gauge("keep_bytes").Update(float64(k.bytes))
	return nil
}

func (k *Keeper) takeJob(j *wire.Job) error {
	e := k.entries[j.GetId()]
	if e != nil && (e.outcome == nil || e.outcome.GetKind() != string(fleet.Refused)) {
		return nil
	}
	n := &kept{job: j, at: k.clock.Now()}
	if fleet.Bytes(k.bytes+n.bytes()) > k.limit {
		k.makeRoom(n.bytes())
	}
	if fleet.Bytes(k.bytes+n.bytes()) > k.limit {
		return fmt.Errorf("keep %s beside %d bytes: %w", j.GetId(), k.bytes, ErrFull)
	}
	k.put(j.GetId(), n)
	return nil
}

// makeRoom drops acknowledged outcomes, the oldest first; jobs and answers that nobody has acknowledged stay.
func (k *Keeper) makeRoom(n int) {
	var ids []string
	for id, e := range k.entries {
		if e.acked {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return k.entries[ids[i]].at.Before(k.entries[ids[j]].at) })
	for _, id := range ids {
		if fleet.Bytes(k.bytes+n) <= k.limit {
			return
		}
		k.drop(id)
	}
}

func (k *Keeper) takeOutcome(o *wire.Outcome) {
	e := k.entries[o.GetJob()]
	if e != nil && e.outcome != nil && e.outcome.GetKind() != string(fleet.Unknown) {
		return
	}
	n := &kept{outcome: o, at: k.clock.Now()}
	if e != nil {
		n.logged = e.logged
	}
	k.put(o.GetJob(), n)
}

func (k *Keeper) takeAck(id string) {
	e := k.entries[id]
	if e == nil || e.outcome == nil || e.acked {
		return
	}
	o := withoutAnswer(e.outcome)
	k.put(id, &kept{outcome: o, at: e.at, acked: true, logged: e.logged, endLogged: e.endLogged, written: e.written})
}

// withoutAnswer keeps length and digest, which tell the caller that an answer was there.
func withoutAnswer(o *wire.Outcome) *wire.Outcome {
	return &wire.Outcome{
		Job:                o.GetJob(),
		Attempt:            o.GetAttempt(),
		Kind:               o.GetKind(),
		Reason:             o.GetReason(),
		AnswerBytes:        o.GetAnswerBytes(),
		AnswerDigest:       o.GetAnswerDigest(),
		FinishedUnixMillis: o.GetFinishedUnixMillis(),
		StartedUnixMillis:  o.GetStartedUnixMillis(),
	}
}

func (k *Keeper) put(id string, n *kept) {
	k.drop(id)
	k.entries[id] = n
	k.bytes += n.bytes()
}

func (k *Keeper) drop(id string) {
	if e, ok := k.entries[id]; ok {
		k.bytes -= e.bytes()
		delete(k.entries, id)
	}
}

func termToWire(t fleet.Term) *wire.Term {
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func fleetTerm(t *wire.Term) fleet.Term {
	return fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}
}
