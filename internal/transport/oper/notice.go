package oper

import (
	"context"
	"net/http"

	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/state/config"
)

// NoticesView lists the notices in force.
type NoticesView struct {
	Offset  uint64
	Notices []config.Notice
}

// AckRequest acknowledges a notice; ID makes a retry idempotent.
type AckRequest struct {
	ID     string
	Reason string
}

func (s *Server) findNotices(w http.ResponseWriter, _ *http.Request) {
	c := s.Policy.Config()
	writeJSON(w, http.StatusOK, NoticesView{Offset: c.Offset, Notices: sortedByName(c.Notices)})
}

func (s *Server) ackNotice(w http.ResponseWriter, r *http.Request) {
	op, err := s.operator(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	var q AckRequest
	if err := decode(w, r, &q); err != nil {
		s.writeError(w, err)
		return
	}
	if q.ID == "" {
		s.writeError(w, ErrRequestInvalid{Why: "ID is missing"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	n, err := s.Policy.AckNotice(ctx, policy.Ack{ID: q.ID, Notice: r.PathValue("id"), Operator: op, Reason: q.Reason})
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, n)
}
