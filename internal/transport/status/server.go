package status

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

const (
	workersTimeout = 3 * time.Second
	defaultEvents  = 5000
)

// HostView is the state of one host as known to the answering host.
type HostView struct {
	Name         string
	Domain       string
	Addr         string
	State        string
	Owner        bool
	ConfigOffset uint64
	LastHeard    time.Time
}

// Server holds the sources of the replies.
type Server struct {
	// Ready returns an empty string, or the reason why load balancers should send no requests to this host.
	Ready func() string
	// Metrics serves the metrics in the Prometheus text format; nil if there are none.
	Metrics http.Handler
	// Events is the timeline of this process.
	Events *events.Ring
	// Hosts lists all known hosts.
	Hosts func() []HostView
	// Workers returns the workers in the ledger of the owner of this host's failure domain.
	Workers func(ctx context.Context) (*wire.WorkersReply, error)
	// Evacuations lists the evacuated failure domains; nil where operators cannot evacuate.
	Evacuations func(ctx context.Context) EvacuationsView
	// Keys returns the state of the claims of idempotency keys; nil where jobs use no idempotency keys.
	Keys func() KeysView
	// Name is the host's name.
	Name string
}

// Handler returns the HTTP handler of the status API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", s.getHealth)
	m.HandleFunc("GET /readyz", s.getReady)
	m.HandleFunc("GET /v1/timeline", s.getTimeline)
	m.HandleFunc("GET /v1/hosts", s.findHosts)
	m.HandleFunc("GET /v1/workers", s.findWorkers)
	if s.Evacuations != nil {
		m.HandleFunc("GET /v1/evacuations", s.findEvacuations)
	}
	if s.Keys != nil {
		m.HandleFunc("GET /v1/keys", s.getKeys)
	}
	if s.Metrics != nil {
		m.Handle("GET /metrics", s.Metrics)
	}
	return m
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	why := s.Ready()
	if why == "" {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte("not ready: " + why + "\n"))
}

func (s *Server) getTimeline(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	n, err := strconv.Atoi(v.Get("Limit"))
	if err != nil || n < 1 {
		n = defaultEvents
	}
	es, dropped := s.Events.Find(events.Filter{
		Job:          v.Get("Job"),
		Worker:       v.Get("Worker"),
		Organisation: v.Get("Organisation"),
		Profile:      v.Get("Profile"),
		Limit:        n,
	})
	t := &wire.TimelineReply{Host: s.Name, Dropped: dropped}
	for _, e := range es {
		t.Events = append(t.Events, &wire.Event{
			Clock:        uint64(e.At),
			Host:         e.Host,
			Kind:         string(e.Kind),
			Job:          e.Job,
			Worker:       e.Worker,
			Organisation: e.Organisation,
			Profile:      e.Profile,
			Text:         e.Text,
		})
	}
	writeJSON(w, http.StatusOK, t)
}

// HostsView lists hosts.
type HostsView struct {
	Hosts []HostView
}

func (s *Server) findHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, HostsView{Hosts: s.Hosts()})
}

func (s *Server) findWorkers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), workersTimeout)
	defer cancel()
	v, err := s.Workers(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
