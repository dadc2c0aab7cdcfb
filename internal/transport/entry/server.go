package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

const (
	defaultBody     = 1 << 20
	defaultRequests = 1024
)

// Server holds what the handlers need.
type Server struct {
	router   *route.Router
	config   func() config.Config
	clock    clock.Clock
	scope    tally.Scope
	body     fleet.Bytes
	requests chan struct{}
	draining func() bool
}

func (s *Server) isDraining() bool {
	return s.draining()
}

// Option sets one property of a Server.
type Option func(*Server)

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(s *Server) { s.clock = c }
}

// WithScope counts requests and failures.
func WithScope(t tally.Scope) Option {
	return func(s *Server) { s.scope = t }
}

// WithBody bounds the body of a request.
func WithBody(b fleet.Bytes) Option {
	return func(s *Server) { s.body = b }
}

// WithRequests bounds the requests that are served at once.
func WithRequests(n int) Option {
	return func(s *Server) { s.requests = make(chan struct{}, n) }
}

// WithDraining sets what tells that the host is leaving, so that long waits end early.
func WithDraining(f func() bool) Option {
	return func(s *Server) { s.draining = f }
}

// New returns a server that checks requests against the configuration in force.
func New(r *route.Router, c func() config.Config, opts ...Option) *Server {
	s := &Server{
		router:   r,
		config:   c,
		clock:    clock.System(),
		scope:    tally.NoopScope,
		body:     defaultBody,
		requests: make(chan struct{}, defaultRequests),
		draining: func() bool { return false },
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/jobs", s.createJob)
	m.HandleFunc("GET /v1/jobs", s.findJobs)
	m.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	m.HandleFunc("GET /v1/jobs/{id}/answer", s.getAnswer)
	m.HandleFunc("POST /v1/jobs/ack", s.ackJobs)
	m.HandleFunc("POST /v1/jobs/cancel", s.cancelJobs)
	return s.limit(m)
}

// limit refuses requests beyond the bound at once, before they cost anything.
func (s *Server) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requests <- struct{}{}:
			defer func() { <-s.requests }()
			s.scope.Counter("entry_requests").Inc(1)
			next.ServeHTTP(w, r)
		default:
			s.fail(w, errBusy)
		}
	})
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, to any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(s.body)))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return wrapBody(err)
	}
	return nil
}

func (s *Server) bound(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

func render(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	if j, ok := v.(JobView); ok && j.Outcome.GetRetryAfterMillis() > 0 {
		d := time.Duration(j.Outcome.GetRetryAfterMillis()) * time.Millisecond
		w.Header().Set("Retry-After", strconv.Itoa(int(max(d.Round(time.Second), time.Second).Seconds())))
	}
	w.WriteHeader(status)
	// A caller that went away cannot be told of it.
	_ = json.NewEncoder(w).Encode(v)
}
