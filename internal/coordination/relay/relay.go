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
	// maxTries bounds the hosts that are asked for one request.
	maxTries = 2
	// tryBound bounds one try, within the patience of the caller.
	tryBound = 1200 * time.Millisecond
	// answerMargin is kept of the caller's patience for the answer's way back.
	answerMargin = 200 * time.Millisecond
	// avoidFor is how long a host is not asked again that did not answer or could not serve.
	avoidFor = 1500 * time.Millisecond
	// hedgeAfter is how long the store may leave a request unanswered before another host is asked as well.
	hedgeAfter = time.Second
	// outageRetryAfter is when a caller should come back when no host reaches the store, whose outages last for seconds.
	outageRetryAfter = 2 * time.Second
	// method is what other hosts are called by.
	method = "Peer.Take"
)

var (
	errSlow    = errors.New("store has not answered in time")
	errNoOther = errors.New("no other host could serve")
)

// Relay serves callers, at another host where this one cannot.
type Relay struct {
	intake *intake.Intake
	peers  port.Peers
	// serve carries a request out on this host.
	serve func(ctx context.Context, q intake.Request) (intake.Reply, error)
	// find returns the hosts that may serve a request, the likeliest first.
	find  func() []netip.AddrPort
	clock clock.Clock
	log   *slog.Logger
	scope tally.Scope

	mu    sync.Mutex
	avoid map[netip.AddrPort]time.Time
}

// New returns a relay in front of an intake.
func New(i *intake.Intake, p port.Peers, find func() []netip.AddrPort, c clock.Clock, l *slog.Logger, s tally.Scope) *Relay {
	return &Relay{intake: i, serve: i.Serve, peers: p, find: find, clock: c, log: l, scope: s, avoid: map[netip.AddrPort]time.Time{}}
}

// result is how one host answered.
type result struct {
	reply intake.Reply
	err   error
}

// Serve carries a request out here, and at another host when this one cannot for want of the store, or does not hear from
// it in time: a job is the same job wherever it is handed in.
func (r *Relay) Serve(ctx context.Context, q intake.Request) (intake.Reply, error) {
	until := r.clock.Now().Add(q.Timeout - answerMargin)
	here := make(chan result, 1)
	go func() {
		p, err := r.serveHere(ctx, q)
		here <- result{p, err}
	}()
	select {
	case x := <-here:
		if !isForOthers(x.err) {
			return x.reply, x.err
		}
		return merge(x, r.passOn(ctx, q, until, x.err))
	case <-r.clock.After(hedgeAfter):
	}
	there := r.passOn(ctx, q, until, errSlow)
	if there.err == nil {
		return there.reply, nil
	}
	return merge(<-here, there)
}

// serveHere carries a request out on this host. A fault of the program that one request brings about ends that request alone,
// with an unknown outcome.
func (r *Relay) serveHere(ctx context.Context, q intake.Request) (p intake.Reply, err error) {
	defer func() {
		x := recover()
		if x == nil {
			return
		}
		r.log.Error("request brought about a fault", "Verb", q.Verb.String(), "Path", q.Path, "Fault", fmt.Sprint(x), "Stack", string(debug.Stack()))
		r.scope.Counter("request_faults").Inc(1)
		p, err = intake.Reply{}, fmt.Errorf("serve request: fault of the program: %w", intake.ErrOutcomeUnknown)
	}()
	return r.serve(ctx, q)
}

// isForOthers reports whether another host may serve what came to an error here.
func isForOthers(err error) bool {
	var b intake.ErrBusy
	return errors.As(err, &b) && !b.IsFull || errors.Is(err, intake.ErrOutcomeUnknown)
}

// merge returns what is known of a request after this host and another one have answered: it is refused only when it has
// surely been carried out nowhere.
func merge(here, there result) (intake.Reply, error) {
	var b intake.ErrBusy
	switch {
	case here.err == nil:
		return here.reply, nil
	case there.err == nil:
		return there.reply, nil
	case errors.Is(there.err, errNoOther) && errors.As(here.err, &b):
		b.RetryAfter = max(b.RetryAfter, outageRetryAfter)
		return here.reply, b
	case errors.Is(here.err, intake.ErrOutcomeUnknown), errors.Is(there.err, errNoOther):
		return here.reply, here.err
	default:
		return there.reply, there.err
	}
}

// passOn asks other hosts, one after the other, until one has answered for sure.
func (r *Relay) passOn(ctx context.Context, q intake.Request, until time.Time, why error) result {
	last := result{err: errNoOther}
	for range maxTries {
		to, ok := r.next()
		if !ok || !r.clock.Now().Before(until) {
			break
		}
		p, err := r.pass(ctx, to, q, until)
		if isForOthers(err) || errors.Is(err, port.ErrUnsent) {
			r.note(to, q, why, err)
			if errors.Is(err, intake.ErrOutcomeUnknown) {
				last = result{p, err}
			}
			continue
		}
		if err != nil && errors.Is(last.err, intake.ErrOutcomeUnknown) {
			// A refusal says nothing of the host that was asked before.
			return last
		}
		r.log.Info("request passed on", "Verb", q.Verb.String(), "Path", q.Path, "To", to.String(), "Why", why.Error(), "Outcome", outcome(err))
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

// note keeps a host that could not serve from being asked for a while.
func (r *Relay) note(to netip.AddrPort, q intake.Request, why, err error) {
	r.log.Info("request not passed on", "Verb", q.Verb.String(), "Path", q.Path, "To", to.String(), "Why", why.Error(), "Cause", err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[to] = r.clock.Now().Add(avoidFor)
}

// next returns the likeliest host that is not avoided.
func (r *Relay) next() (netip.AddrPort, bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.find() {
		if now.After(r.avoid[a]) {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// pass has another host carry a request out; without an answer it may have done so.
func (r *Relay) pass(ctx context.Context, to netip.AddrPort, q intake.Request, until time.Time) (intake.Reply, error) {
	q.Timeout = min(until.Sub(r.clock.Now()), tryBound)
	if c := r.intake.Config(); c != nil {
		// What callers of this host have seen in force must not go back.
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

// Take serves a request that another host has passed on.
func (r *Relay) Take(ctx context.Context, m *wire.TakeRequest, p *wire.TakeReply) error {
	q := decodeRequest(m)
	x, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	reply, err := r.serveHere(x, q)
	encodeReply(reply, err, p)
	return nil
}
