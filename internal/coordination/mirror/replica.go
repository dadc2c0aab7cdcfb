package mirror

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

// Errors of Replica; after either of them the job is not accepted.
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

// Replica is one host's copy of the accepted jobs and outcomes of its failure domain.
type Replica struct {
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

// Option configures a Replica.
type Option func(*Replica)

// WithDomain sets the failure domain.
func WithDomain(d string) Option {
	return func(r *Replica) { r.domain = d }
}

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(r *Replica) { r.clock = c }
}

// WithPeers sets the function that lists the live peers, and the client that calls them.
func WithPeers(list func() []Peer, p port.Peers) Option {
	return func(r *Replica) {
		r.peers = list
		r.call = p
	}
}

// WithQueue sets the function that queues records for the log.
func WithQueue(f func(*wire.Record) error) Option {
	return func(r *Replica) { r.queue = f }
}

// WithBytes sets the memory limit of jobs and answers.
func WithBytes(b fleet.Bytes) Option {
	return func(r *Replica) { r.limit = b }
}

// WithLifetime sets how long an outcome is held.
func WithLifetime(d time.Duration) Option {
	return func(r *Replica) { r.lifetime = d }
}

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(r *Replica) { r.scope = s }
}

// New returns an empty Replica.
func New(opts ...Option) *Replica {
	r := &Replica{
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
		o(r)
	}
	return r
}

// Put stores jobs on this host and at least one peer, after which they count as accepted; a host without live peers queues
// them for the log instead.
func (r *Replica) Put(ctx context.Context, t fleet.Term, js []fleet.Job) error {
	q := &wire.KeepRequest{Term: termToWire(t)}
	for _, j := range js {
		q.Jobs = append(q.Jobs, JobToWire(j))
	}
	if err := r.apply(q); err != nil {
		return err
	}
	if err := r.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate %d jobs: %w", len(js), err)
	}
	return nil
}

// PutOutcome stores the outcome of a job on this host and at least one peer; after an error of the peers it is stored on this
// host only, from which peers copy it when they join or take over.
func (r *Replica) PutOutcome(ctx context.Context, t fleet.Term, o *wire.Outcome) error {
	q := &wire.KeepRequest{Term: termToWire(t), Outcomes: []*wire.Outcome{o}}
	if err := r.apply(q); err != nil {
		return err
	}
	if err := r.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate outcome of job %s: %w", o.GetJob(), err)
	}
	return nil
}

// GetOutcome returns the outcome of a job, if the job has ended.
func (r *Replica) GetOutcome(id string) (*wire.Outcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	if !ok || e.outcome == nil {
		return nil, false
	}
	return e.outcome, true
}

// Ack deletes the answers of jobs whose callers have received them; the outcomes stay until their lifetime ends or memory runs
// short.
func (r *Replica) Ack(ctx context.Context, t fleet.Term, ids []string) error {
	q := &wire.KeepRequest{Term: termToWire(t), Ended: ids}
	if err := r.apply(q); err != nil {
		return err
	}
	if err := r.replicate(ctx, q); err != nil {
		return fmt.Errorf("replicate %d acknowledgements: %w", len(ids), err)
	}
	return nil
}

// apply stores a request on this host, unless the host has seen a newer term.
func (r *Replica) apply(q *wire.KeepRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := fleetTerm(q.GetTerm())
	if t.Less(r.term) {
		return fmt.Errorf("store jobs in term %s: %w", t, port.ErrFenced)
	}
	r.term = t
	for _, j := range q.GetJobs() {
		if err := r.applyJob(j); err != nil {
			return err
		}
	}
	for _, o := range q.GetOutcomes() {
		r.applyOutcome(o)
	}
	for _, id := range q.GetEnded() {
		r.applyAck(id)
	}
	r.scope.Gauge("keep_bytes").Update(float64(r.bytes))
	return nil
}

func (r *Replica) applyJob(j *wire.Job) error {
	e := r.entries[j.GetId()]
	if e != nil && (e.outcome == nil || e.outcome.GetKind() != string(fleet.Refused)) {
		return nil
	}
	n := &entry{job: j, at: r.clock.Now()}
	if fleet.Bytes(r.bytes+n.size()) > r.limit {
		r.evictAcknowledged(n.size())
	}
	if fleet.Bytes(r.bytes+n.size()) > r.limit {
		return fmt.Errorf("store job %s with %d bytes in use: %w", j.GetId(), r.bytes, ErrFull)
	}
	r.put(j.GetId(), n)
	return nil
}

// evictAcknowledged deletes acknowledged outcomes, the oldest first, until n bytes fit; jobs and unacknowledged outcomes stay.
func (r *Replica) evictAcknowledged(n int) {
	var ids []string
	for id, e := range r.entries {
		if e.acked {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return r.entries[ids[i]].at.Before(r.entries[ids[j]].at) })
	for _, id := range ids {
		if fleet.Bytes(r.bytes+n) <= r.limit {
			return
		}
		r.drop(id)
	}
}

func (r *Replica) applyOutcome(o *wire.Outcome) {
	e := r.entries[o.GetJob()]
	if e != nil && e.outcome != nil && e.outcome.GetKind() != string(fleet.Unknown) {
		return
	}
	n := &entry{outcome: o, at: r.clock.Now()}
	if e != nil {
		n.logged = e.logged
	}
	r.put(o.GetJob(), n)
}

func (r *Replica) applyAck(id string) {
	e := r.entries[id]
	if e == nil || e.outcome == nil || e.acked {
		return
	}
	o := withoutAnswer(e.outcome)
	r.put(id, &entry{outcome: o, at: e.at, acked: true, logged: e.logged, endLogged: e.endLogged, queuedAt: e.queuedAt})
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

func (r *Replica) put(id string, n *entry) {
	r.drop(id)
	r.entries[id] = n
	r.bytes += n.size()
}

func (r *Replica) drop(id string) {
	if e, ok := r.entries[id]; ok {
		r.bytes -= e.size()
		delete(r.entries, id)
	}
}

func termToWire(t fleet.Term) *wire.Term {
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func fleetTerm(t *wire.Term) fleet.Term {
	return fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}
}
