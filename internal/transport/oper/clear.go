package oper

import (
	"context"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
)

// ClearRequest is an operator's confirmation that a failure domain lacks no claims of idempotency keys. ID makes a retry
// idempotent.
type ClearRequest struct {
	ID     string
	Domain string
	Reason string
}

// ClearView is the confirmation as recorded in the log.
type ClearView struct {
	ID       string
	Domain   string
	Operator string
	Reason   string
	At       time.Time
}

func (q ClearRequest) check() error {
	switch {
	case q.ID == "":
		return ErrRequestInvalid{Why: "ID is missing"}
	case q.Domain == "":
		return ErrRequestInvalid{Why: "Domain is missing"}
	case q.Reason == "":
		return ErrRequestInvalid{Why: "Reason is missing"}
	}
	return nil
}

func (s *Server) clearKeys(w http.ResponseWriter, r *http.Request) {
	op, err := s.operator(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	var q ClearRequest
	if err := decode(w, r, &q); err != nil {
		s.writeError(w, err)
		return
	}
	if err := q.check(); err != nil {
		s.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	c, err := s.ClearKeys(ctx, dedup.ClearRequest{ID: q.ID, Domain: q.Domain, Operator: op, Reason: q.Reason})
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, ClearView{ID: c.ID, Domain: c.Domain, Operator: c.Operator, Reason: c.Reason, At: c.At})
}
