package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

// Errors of calls to owners. A call with retries that fails without ErrOutcomeUnknown had no effect.
var (
	// ErrNoOwner says that no owner of the failure domain was reached in time.
	ErrNoOwner = errors.New("no owner of the failure domain can be reached")
	// ErrNotOwner says that the called host is not the owner of its failure domain at present.
	ErrNotOwner = errors.New("host does not own the failure domain")
	// ErrOutcomeUnknown says that the request may have taken effect, and that its reply was lost.
	ErrOutcomeUnknown = errors.New("the request may have taken effect")
)

// attemptTimeout bounds one call to one owner, so that a paused owner does not use up the whole deadline.
const attemptTimeout = 2 * time.Second

// DomainLoad is the known load of a failure domain.
type DomainLoad struct {
	Domain string
	// Wait is the expected wait before a new job starts, by urgency.
	Wait map[string]time.Duration
	// LinkCost is the one-way delay to the failure domain.
	LinkCost time.Duration
}

// Router forwards requests to the owners of failure domains.
type Router struct {
	domain  string
	domains []string
	peers   port.Peers
	clock   clock.Clock
	random  func() float64
	budget  *RetryBudget
	scope   tally.Scope

	owner func(domain string) (netip.AddrPort, bool)
	home  func(org, key string) string
	loads func() []DomainLoad
}

// Option sets one property of a Router.
type Option func(*Router)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option {
	return func(r *Router) { r.clock = c }
}

// WithScope sets the metrics scope, which counts retries and diversions.
func WithScope(s tally.Scope) Option {
	return func(r *Router) { r.scope = s }
}

// WithOwner sets the function that looks up the owner of a failure domain.
func WithOwner(f func(domain string) (netip.AddrPort, bool)) Option {
	return func(r *Router) { r.owner = f }
}

// WithHome sets the function that looks up the home failure domain of an idempotency key.
func WithHome(f func(org, key string) string) Option {
	return func(r *Router) { r.home = f }
}

// WithDomainLoads sets the source of the load of the failure domains.
func WithDomainLoads(f func() []DomainLoad) Option {
	return func(r *Router) { r.loads = f }
}

// WithRandom sets the source of jitter, which returns numbers between 0 and 1.
func WithRandom(f func() float64) Option {
	return func(r *Router) { r.random = f }
}

// New returns a router for a host in domain; domains lists all configured failure domains.
func New(domain string, domains []string, p port.Peers, opts ...Option) *Router {
	r := &Router{
		domain:  domain,
		domains: domains,
		peers:   p,
		clock:   clock.System(),
		random:  rand.Float64,
		budget:  NewRetryBudget(),
		scope:   tally.NoopScope,
		owner:   func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		home:    func(string, string) string { return domain },
		loads:   func() []DomainLoad { return nil },
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Submit submits a job to the owner of the home domain of its idempotency key. A job without a key goes to the failure
// domains in domainOrder, until one accepts it or refuses it for good, or its outcome is unknown. The reply contains the job id.
func (r *Router) Submit(ctx context.Context, j *wire.Job, request, urgency string) (*wire.SubmitReply, error) {
	if j.GetKey() != "" {
		d := r.home(j.GetOrganisation(), j.GetKey())
		j.Id = KeyID(d, j.GetOrganisation(), j.GetKey())
		return r.submitTo(ctx, d, j)
	}
	var reply *wire.SubmitReply
	var last error
	for _, d := range r.domainOrder(urgency) {
		c := proto.CloneOf(j)
		c.Id = RequestID(d, j.GetOrganisation(), request)
		var err error
		reply, err = r.submitTo(ctx, d, c)
		if err == nil && !isDivertible(reply) {
			return reply, nil
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			return nil, err
		}
		last = err
		r.scope.Counter("route_diverted").Inc(1)
	}
	if reply != nil {
		return reply, nil
	}
	return nil, last
}

// isDivertible reports whether a job refused by one failure domain may be submitted to another one.
func isDivertible(r *wire.SubmitReply) bool {
	o := r.GetOutcome()
	return !r.GetAccepted() && o.GetKind() == string(fleet.Refused) && o.GetRetryAfterMillis() > 0
}

func (r *Router) submitTo(ctx context.Context, domain string, j *wire.Job) (*wire.SubmitReply, error) {
	j.Domain = domain
	reply := &wire.SubmitReply{}
	err := r.callWithRetry(ctx, domain, "Owner.Submit", &wire.SubmitRequest{Job: j}, reply)
	if err != nil {
		return nil, fmt.Errorf("submit %s: %w", j.GetId(), err)
	}
	return reply, nil
}

// Await waits for a job to end, up to the time given in the request; it follows changes of the owner.
func (r *Router) Await(ctx context.Context, q *wire.AwaitRequest) (*wire.AwaitReply, error) {
	d, err := domainOf(q.GetJob(), r.domains)
	if err != nil {
		return nil, err
	}
	reply := &wire.AwaitReply{}
	if err := r.callWithRetry(ctx, d, "Owner.Await", q, reply); err != nil {
		return nil, fmt.Errorf("await %s: %w", q.GetJob(), err)
	}
	return reply, nil
}

// callWithRetry calls the current owner of a failure domain and retries until ctx is done; the call must be idempotent.
func (r *Router) callWithRetry(ctx context.Context, domain, method string, q, reply proto.Message) error {
	r.budget.Deposit()
	sent := false
	last := ErrNoOwner
	for n := 0; ; n++ {
		a, ok := r.owner(domain)
		if ok {
			last = r.callOnce(ctx, a, method, q, reply)
		}
		if last == nil {
			return nil
		}
		sent = sent || ok && mayHaveTakenEffect(last)
		if !r.isRetryable(last) || !r.mayRetry(ctx, n, last) {
			return r.wrapError(last, sent)
		}
		r.scope.Counter("route_retries").Inc(1)
	}
}

// mayHaveTakenEffect reports whether the call that failed with err may have taken effect.
func mayHaveTakenEffect(err error) bool {
	return !errors.Is(err, port.ErrUnsent) && !errors.Is(err, ErrNotOwner) && !errors.Is(err, ErrNoOwner)
}

func (r *Router) wrapError(err error, sent bool) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

func (r *Router) callOnce(ctx context.Context, a netip.AddrPort, method string, q, reply proto.Message) error {
	t, cancel := context.WithTimeout(ctx, attemptTimeout+waitTime(q))
	defer cancel()
	return r.peers.Call(t, a, method, q, reply)
}

func waitTime(q proto.Message) time.Duration {
	if a, ok := q.(*wire.AwaitRequest); ok {
		return time.Duration(a.GetWaitMillis()) * time.Millisecond
	}
	return 0
}

// isRetryable reports whether a call that failed with err may succeed if it is retried.
func (r *Router) isRetryable(err error) bool {
	return errors.Is(err, port.ErrUnsent) || errors.Is(err, ErrNotOwner) || errors.Is(err, ErrNoOwner) ||
		errors.Is(err, context.DeadlineExceeded) || !isRemote(err)
}

// isRemote reports whether the error was returned by the handler at the owner, so that a retry cannot succeed.
func isRemote(err error) bool {
	var e interface{ IsRemote() bool }
	return errors.As(err, &e) && e.IsRemote()
}

// mayRetry waits for the backoff and reports whether to retry. Only a retry of a call that may have taken effect is taken
// from the budget.
func (r *Router) mayRetry(ctx context.Context, n int, last error) bool {
	if ctx.Err() != nil {
		return false
	}
	if mayHaveTakenEffect(last) && !r.budget.TryWithdraw() {
		return false
	}
	return r.clock.Sleep(ctx, backoff(n, r.random())) == nil
}
