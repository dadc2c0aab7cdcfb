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
	defaultMaxBodyBytes = 1 << 20
	defaultMaxRequests  = 1024
)

// Server handles the requests of callers.
type Server struct {
	router   *route.Router
	config   func() config.Config
	clock    clock.Clock
	scope    tally.Scope
	body     fleet.Bytes // the largest request body that is read
	slots    chan struct{}
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

// WithScope sets the scope of the request and failure counters.
func WithScope(t tally.Scope) Option {
	return func(s *Server) { s.scope = t }
}

// WithMaxBodyBytes sets the largest body of a request.
func WithMaxBodyBytes(b fleet.Bytes) Option {
	return func(s *Server) { s.body = b }
}

// WithMaxRequests sets the number of requests that are served concurrently.
func WithMaxRequests(n int) Option {
	return func(s *Server) { s.slots = make(chan struct{}, n) }
}

// WithDraining sets the function that reports whether the host is draining; long waits then end early.
func WithDraining(f func() bool) Option {
	return func(s *Server) { s.draining = f }
}

// New returns a server that routes requests with r and validates submissions against the configuration that c returns.
func New(r *route.Router, c func() config.Config, opts ...Option) *Server {
	s := &Server{
		router:   r,
		config:   c,
		clock:    clock.System(),
		scope:    tally.NoopScope,
		body:     defaultMaxBodyBytes,
		slots:    make(chan struct{}, defaultMaxRequests),
		draining: func() bool { return false },
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the HTTP handler of the job API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/jobs", s.createJob)
	m.HandleFunc("GET /v1/jobs", s.findJobs)
	m.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	m.HandleFunc("GET /v1/jobs/{id}/answer", s.getAnswer)
	m.HandleFunc("POST /v1/jobs/ack", s.ackJobs)
	m.HandleFunc("POST /v1/jobs/cancel", s.cancelJobs)
	return s.limitConcurrency(m)
}

// limitConcurrency rejects requests beyond the limit immediately, before their body is read.
func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			s.scope.Counter("entry_requests").Inc(1)
			next.ServeHTTP(w, r)
		default:
			s.writeError(w, errTooManyRequests)
		}
	})
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, to any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(s.body)))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return wrapBodyError(err)
	}
	return nil
}

func (s *Server) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	if j, ok := v.(JobView); ok && j.Outcome.GetRetryAfterMillis() > 0 {
		d := time.Duration(j.Outcome.GetRetryAfterMillis()) * time.Millisecond
		w.Header().Set("Retry-After", strconv.Itoa(int(max(d.Round(time.Second), time.Second).Seconds())))
	}
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
