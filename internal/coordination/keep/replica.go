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
	// defaultLifetime is how long an outcome is held for its caller.
	defaultLifetime = time.Hour
	peerTimeout     = 500 * time.Millisecond
)

// Errors of Keeper; after either of them the job is not accepted.
var (
	// ErrFull is returned when the memory limit leaves no room for another job.
	ErrFull = errors.New("memory limit for jobs and answers reached")
	// ErrNoCopy is returned when no live peer stored a copy.
	ErrNoCopy = errors.New("no live peer stored a copy")
)

// Peer is another live and ready host of the failure domain.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// entry is a job that has not ended, or the outcome of one that has.
type entry struct {
	job     *wire.Job
	outcome *wire.Outcome
	// at is when the job or outcome was stored, or the log's time of a job that was read from the log.
	at    time.Time
	acked bool
	// logged and endLogged are set once the log holds the job and its end.
	logged    bool
	loggedAt  time.Time
	endLogged bool
	// queuedAt is when a record of the entry was last queued for the log.
	queuedAt time.Time
}

func (e *entry) size() int {
	return len(e.job.GetWork()) + len(e.outcome.GetAnswer()) + entryOverhead
}

// entryOverhead is the memory of an entry without work and answer, in bytes.
const entryOverhead = 512

// Keeper is one host's replica of the accepted jobs and outcomes of its failure domain.
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
	// replicationOff turns off the copies at peers, so that a test can show that they are needed.
	replicationOff bool

	batches atomic.Uint64
	mu      sync.Mutex
	term    fleet.Term
	entries map[string]*entry
	bytes   int
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithDomain sets the failure domain.
func WithDomain(d string) Option {
	return func(k *Keeper) { k.domain = d }
}

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(k *Keeper) { k.clock = c }
}

// WithPeers sets the function that lists the live peers, and the client that calls them.
func WithPeers(list func() []Peer, p port.Peers) Option {
	return func(k *Keeper) {
		k.peers = list
		k.call = p
	}
}

// WithQueue sets the function that queues records for the log.
func WithQueue(f func(*wire.Record) error) Option {
	return func(k *Keeper) { k.queue = f }
}

// WithBytes sets the memory limit of jobs and answers.
func WithBytes(b fleet.Bytes) Option {
	return func(k *Keeper) { k.limit = b }
}

// WithLifetime sets how long an outcome is held.
func WithLifetime(d time.Duration) Option {
	return func(k *Keeper) { k.lifetime = d }
}

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(k *Keeper) { k.scope = s }
}

// New returns an empty Keeper.
func New(opts ...Option) *Keeper {
	k := &Keeper{
		clock:    clock.System(),
		peers:    func() []Peer { return nil },
		queue:    func(*wire.Record) error { return nil },
		owner:    func() (fleet.Term, bool) { return fleet.Term{}, false },
		limit:    defaultBytes,
		lifetime: defaultLifetime,
		scope:    tally.NoopScope,
		entries:  map[string]*entry{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Put stores jobs on this host and at least one peer, after which they count as accepted; a host without live peers queues
// them for the log instead.
func (k *Keeper) Put(ctx context.Context, t fleet.Term, js []fleet.Job) error {
	q := &wire.KeepRequest{Term: termToWire(t)}
	for _, j := range js {
		q.Jobs = append(q.Jobs, JobToWire(j))
	}
	if err := k.apply(q); err != nil {
		return err
	}
	if err := k.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate %d jobs: %w", len(js), err)
	}
	return nil
}

// PutOutcome stores the outcome of a job on this host and at least one peer; after an error of the peers it is stored on this
// host only, from which peers copy it when they join or take over.
func (k *Keeper) PutOutcome(ctx context.Context, t fleet.Term, o *wire.Outcome) error {
	q := &wire.KeepRequest{Term: termToWire(t), Outcomes: []*wire.Outcome{o}}
	if err := k.apply(q); err != nil {
		return err
	}
	if err := k.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate outcome of job %s: %w", o.GetJob(), err)
	}
	return nil
}

// GetOutcome returns the outcome of a job, if the job has ended.
func (k *Keeper) GetOutcome(id string) (*wire.Outcome, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[id]
	if !ok || e.outcome == nil {
		return nil, false
	}
	return e.outcome, true
}

// Ack deletes the answers of jobs whose callers have received them; the outcomes stay until their lifetime ends or memory runs
// short.
func (k *Keeper) Ack(ctx context.Context, t fleet.Term, ids []string) error {
	q := &wire.KeepRequest{Term: termToWire(t), Ended: ids}
	if err := k.apply(q); err != nil {
		return err
	}
	if err := k.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate %d acknowledgements: %w", len(ids), err)
	}
	return nil
}

// apply stores a request on this host, unless the host has seen a newer term.
func (k *Keeper) apply(q *wire.KeepRequest) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := fleetTerm(q.GetTerm())
	if t.Less(k.term) {
		return fmt.Errorf("store jobs in term %s: %w", t, port.ErrFenced)
	}
	k.term = t
	for _, j := range q.GetJobs() {
		if err := k.applyJob(j); err != nil {
			return err
		}
	}
	for _, o := range q.GetOutcomes() {
		k.applyOutcome(o)
	}
	for _, id := range q.GetEnded() {
		k.applyAck(id)
	}
	k.scope.Gauge("keep_bytes").Update(float64(k.bytes))
	return nil
}

func (k *Keeper) applyJob(j *wire.Job) error {
	e := k.entries[j.GetId()]
	if e != nil && (e.outcome == nil || e.outcome.GetKind() != string(fleet.Refused)) {
		return nil
	}
	n := &entry{job: j, at: k.clock.Now()}
	if fleet.Bytes(k.bytes+n.size()) > k.limit {
		k.evictAcknowledged(n.size())
	}
	if fleet.Bytes(k.bytes+n.size()) > k.limit {
		return fmt.Errorf("store job %s with %d bytes in use: %w", j.GetId(), k.bytes, ErrFull)
	}
	k.put(j.GetId(), n)
	return nil
}

// evictAcknowledged deletes acknowledged outcomes, the oldest first, until n bytes fit; jobs and unacknowledged outcomes stay.
func (k *Keeper) evictAcknowledged(n int) {
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

func (k *Keeper) applyOutcome(o *wire.Outcome) {
	e := k.entries[o.GetJob()]
	if e != nil && e.outcome != nil && e.outcome.GetKind() != string(fleet.Unknown) {
		return
	}
	n := &entry{outcome: o, at: k.clock.Now()}
	if e != nil {
		n.logged = e.logged
	}
	k.put(o.GetJob(), n)
}

func (k *Keeper) applyAck(id string) {
	e := k.entries[id]
	if e == nil || e.outcome == nil || e.acked {
		return
	}
	o := withoutAnswer(e.outcome)
	k.put(id, &entry{outcome: o, at: e.at, acked: true, logged: e.logged, endLogged: e.endLogged, queuedAt: e.queuedAt})
}

// withoutAnswer returns the outcome without the answer; length and digest stay, so that a caller sees that there was one.
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

func (k *Keeper) put(id string, n *entry) {
	k.drop(id)
	k.entries[id] = n
	k.bytes += n.size()
}

func (k *Keeper) drop(id string) {
	if e, ok := k.entries[id]; ok {
		k.bytes -= e.size()
		delete(k.entries, id)
	}
}

func termToWire(t fleet.Term) *wire.Term {
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func fleetTerm(t *wire.Term) fleet.Term {
	return fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}
}
