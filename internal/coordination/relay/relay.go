package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// maxAttempts limits the hosts that one request is forwarded to.
	maxAttempts = 2
	// attemptTimeout limits the time of one attempt to forward a request; the caller's timeout may shorten it further.
	attemptTimeout = 1200 * time.Millisecond
	// replyMargin is the part of the caller's timeout that is reserved for the reply to reach it.
	replyMargin = 200 * time.Millisecond
	// avoidDuration is how long no request is forwarded to a host after it did not answer or could not serve a forwarded
	// request.
	avoidDuration = 1500 * time.Millisecond
	// hedgeDelay is how long a request may take on this host before it is also forwarded to another one.
	hedgeDelay = time.Second
	// outageRetryAfter is the retry delay for a caller when no host reaches the store; outages of the store last for seconds.
	outageRetryAfter = 2 * time.Second
	// method is the RPC method that handles forwarded requests.
	method = "Peer.Take"
)

var (
	errStoreSlow = errors.New("store has not answered in time")
	errNoHost    = errors.New("no other host could serve")
)

// Relay serves callers on this host, or forwards their requests to another host when this one cannot serve them.
type Relay struct {
	intake *intake.Intake
	peers  port.Peers
	// serve executes a request on this host.
	serve func(ctx context.Context, q intake.Request) (intake.Reply, error)
	// findHosts returns the hosts to forward requests to, in order of preference.
	findHosts func() []netip.AddrPort
	clock     clock.Clock
	log       *slog.Logger
	scope     tally.Scope

	mu         sync.Mutex
	avoidUntil map[netip.AddrPort]time.Time
}

// New returns a relay in front of an intake; findHosts returns the hosts to forward requests to, in order of preference.
func New(i *intake.Intake, p port.Peers, findHosts func() []netip.AddrPort, c clock.Clock, l *slog.Logger, s tally.Scope) *Relay {
	return &Relay{intake: i, serve: i.Serve, peers: p, findHosts: findHosts, clock: c, log: l, scope: s, avoidUntil: map[netip.AddrPort]time.Time{}}
}

// result is the reply or the error of one host.
type result struct {
	reply intake.Reply
	err   error
}

// Serve executes a request on this host, and forwards it to another one when this host does not reach the store or gets no
// reply from it within hedgeDelay. Both may execute it, which is safe: a job with the same id is the same job on every host.
func (r *Relay) Serve(ctx context.Context, q intake.Request) (intake.Reply, error) {
	deadline := r.clock.Now().Add(q.Timeout - replyMargin)
	local := make(chan result, 1)
	go func() {
		p, err := r.serveLocally(ctx, q)
		local <- result{p, err}
	}()
	select {
	case x := <-local:
		if !isRetryableElsewhere(x.err) {
			return x.reply, x.err
		}
		remote := r.forward(ctx, q, deadline, x.err)
		if isSettled(q.Verb, remote.err) {
			return remote.reply, remote.err
		}
		return mergeResults(x, remote)
	case <-r.clock.After(hedgeDelay):
	}
	remote := r.forward(ctx, q, deadline, errStoreSlow)
	if isSettled(q.Verb, remote.err) {
		return remote.reply, remote.err
	}
	return mergeResults(<-local, remote)
}

// serveLocally executes a request on this host. A panic fails only the request that caused it, with an unknown outcome.
func (r *Relay) serveLocally(ctx context.Context, q intake.Request) (p intake.Reply, err error) {
	defer func() {
		x := recover()
		if x == nil {
			return
		}
		r.log.Error("panic while serving request", "Verb", q.Verb.String(), "Path", q.Path, "Fault", fmt.Sprint(x), "Stack", string(debug.Stack()))
		r.scope.Counter("request_faults").Inc(1)
		p, err = intake.Reply{}, fmt.Errorf("serve request: panic: %w", intake.ErrOutcomeUnknown)
	}()
	return r.serve(ctx, q)
}

// isSettled reports whether a request is done with the answer of one host, whatever became of it at others. A cancel answered with ErrNoJob is
// stored, and holds for a job whose record comes later.
func isSettled(v intake.Verb, err error) bool {
	return err == nil || v == intake.Cancel && errors.Is(err, intake.ErrNoJob)
}

// isRetryableElsewhere reports whether another host may serve a request that failed with err.
func isRetryableElsewhere(err error) bool {
	var b intake.ErrBusy
	return errors.As(err, &b) && !b.IsFull || errors.Is(err, intake.ErrOutcomeUnknown)
}

// mergeResults combines the results of this host and another one. The request is reported as refused only if neither host
// can have executed it.
func mergeResults(local, remote result) (intake.Reply, error) {
	var b intake.ErrBusy
	switch {
	case local.err == nil:
		return local.reply, nil
	case remote.err == nil:
		return remote.reply, nil
	case errors.Is(remote.err, errNoHost) && errors.As(local.err, &b):
		b.RetryAfter = max(b.RetryAfter, outageRetryAfter)
		return local.reply, b
	case errors.Is(local.err, intake.ErrOutcomeUnknown), errors.Is(remote.err, errNoHost):
		return local.reply, local.err
	default:
		return remote.reply, remote.err
	}
}

// forward sends a request to other hosts, one after the other, until one returns a definite result.
func (r *Relay) forward(ctx context.Context, q intake.Request, deadline time.Time, reason error) result {
	last := result{err: errNoHost}
	for range maxAttempts {
		to, ok := r.nextHost()
		if !ok || !r.clock.Now().Before(deadline) {
			break
		}
		p, err := r.forwardTo(ctx, to, q, deadline)
		if isRetryableElsewhere(err) || errors.Is(err, port.ErrUnsent) {
			r.recordFailure(to, q, reason, err)
			if errors.Is(err, intake.ErrOutcomeUnknown) {
				last = result{p, err}
			}
			continue
		}
		if !isSettled(q.Verb, err) && errors.Is(last.err, intake.ErrOutcomeUnknown) {
			// The refusal does not rule out that the previous host has executed the request.
			return last
		}
		r.log.Info("request passed on", "Verb", q.Verb.String(), "Path", q.Path, "To", to.String(), "Why", reason.Error(), "Outcome", outcome(err))
		r.scope.Counter("requests_passed_on").Inc(1)
		return result{p, err}
	}
	return last
}

func outcome(err error) string {
	if err == nil {
		return "served"
	}
	return err.Error()
}

// recordFailure excludes a host from forwarding for avoidDuration.
func (r *Relay) recordFailure(to netip.AddrPort, q intake.Request, reason, err error) {
	r.log.Info("request not passed on", "Verb", q.Verb.String(), "Path", q.Path, "To", to.String(), "Why", reason.Error(), "Cause", err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[to] = r.clock.Now().Add(avoidDuration)
}

// nextHost returns the first host in order of preference that is not excluded.
func (r *Relay) nextHost() (netip.AddrPort, bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.findHosts() {
		if now.After(r.avoidUntil[a]) {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// forwardTo forwards a request to a host. Without a reply the outcome is unknown, unless the request was not sent.
func (r *Relay) forwardTo(ctx context.Context, to netip.AddrPort, q intake.Request, deadline time.Time) (intake.Reply, error) {
	q.Timeout = min(deadline.Sub(r.clock.Now()), attemptTimeout)
	if c := r.intake.Config(); c != nil {
		// Callers of this host have seen this version in force, so the request must not be served with an older one.
		q.MinVersion = c.Version
	}
	x, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	var m wire.TakeReply
	if err := r.peers.Call(x, to, method, encodeRequest(q), &m); err != nil {
		if errors.Is(err, port.ErrUnsent) {
			return intake.Reply{}, fmt.Errorf("pass request on to %s: %w", to, err)
		}
		return intake.Reply{}, fmt.Errorf("pass request on to %s: %w: %w", to, err, intake.ErrOutcomeUnknown)
	}
	return decodeReply(&m)
}

// Take serves a request that another host has forwarded.
func (r *Relay) Take(ctx context.Context, m *wire.TakeRequest, p *wire.TakeReply) error {
	q := decodeRequest(m)
	x, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	reply, err := r.serveLocally(x, q)
	encodeReply(reply, err, p)
	return nil
}
