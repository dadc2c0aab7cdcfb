package oper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/uber-go/tally/v4"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// changeTimeout bounds the wait for a change; when it expires, the result of the change is unknown.
	changeTimeout = 20 * time.Second
	bearerPrefix  = "Bearer "
)

// Server handles the requests of operators.
type Server struct {
	Policy *policy.Policy
	Keys   *Keys
	// StopState returns the progress of a planned stop; if it is nil, replies leave the state empty.
	StopState func(context.Context, config.Stop) string
	// ClearKeys records an operator's confirmation that a failure domain lacks no claims of idempotency keys.
	ClearKeys func(context.Context, dedup.ClearRequest) (dedup.Cleared, error)
	Scope     tally.Scope
}

// Handler returns the HTTP handler of the operators' API.
func (s *Server) Handler() http.Handler {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/config/changes", s.createChange)
	m.HandleFunc("GET /v1/config/changes", s.findChanges)
	m.HandleFunc("GET /v1/config/status", s.getStatus)
	m.HandleFunc("GET /v1/profiles", s.findProfiles)
	m.HandleFunc("GET /v1/profiles/{name}", s.getProfile)
	m.HandleFunc("GET /v1/profiles/{name}/history", s.getHistory)
	m.HandleFunc("GET /v1/organisations", s.findOrganisations)
	m.HandleFunc("GET /v1/stops", s.findStops)
	m.HandleFunc("GET /v1/notices", s.findNotices)
	m.HandleFunc("POST /v1/notices/{id}/ack", s.ackNotice)
	m.HandleFunc("POST /v1/keys/clear", s.clearKeys)
	return m
}

// operator returns the name of the operator to whom the bearer key of the request belongs.
func (s *Server) operator(r *http.Request) (string, error) {
	v, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", ErrKeyMissing
	}
	return s.Keys.GetOperator(strings.TrimSpace(v))
}

func decode(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return wrapBodyError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return ErrRequestInvalid{Why: "more than one JSON value"}
	}
	return nil
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	status, f := classify(err)
	s.Scope.Tagged(map[string]string{"code": f.Code}).Counter("operator_failures").Inc(1)
	writeJSON(w, status, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// parseLimit returns the query parameter Limit, or 0 if it is missing or invalid.
func parseLimit(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("Limit"))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// sortedByName returns the values of a map in the order of their keys.
func sortedByName[V any](m map[string]V) []V {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	out := make([]V, 0, len(m))
	for _, n := range names {
		out = append(out, m[n])
	}
	return out
}
