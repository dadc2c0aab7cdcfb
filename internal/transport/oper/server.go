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
	// maxBody bounds the body of a request, in bytes.
	maxBody = 1 << 20
	// changeBound ends a change whose outcome is then not known.
	changeBound = 20 * time.Second
	bearer      = "Bearer "
)

// Server holds the sources that the handlers read.
type Server struct {
	Policy *policy.Policy
	Keys   *Keys
	// StopState says how far a planned stop has come; nil leaves that out.
	StopState func(context.Context, config.Stop) string
	// ClearKeys writes an operator's decision that no claims of a failure domain are missing.
	ClearKeys func(context.Context, dedup.ClearRequest) (dedup.Cleared, error)
	Scope     tally.Scope
}

// Handler returns the routes.
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

// operator returns who sends a request.
func (s *Server) operator(r *http.Request) (string, error) {
	v, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return "", ErrKeyMissing
	}
	return s.Keys.Find(strings.TrimSpace(v))
}

func decode(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return wrapBody(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return ErrRequestInvalid{Why: "more than one JSON value"}
	}
	return nil
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	status, f := classify(err)
	s.Scope.Tagged(map[string]string{"code": f.Code}).Counter("operator_failures").Inc(1)
	render(w, status, f)
}

func render(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who went away cannot be told of it.
	_ = json.NewEncoder(w).Encode(v)
}

func limit(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("Limit"))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// sorted returns the values of a map in the order of their names.
func sorted[V any](m map[string]V) []V {
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
