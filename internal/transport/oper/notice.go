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

// AckRequest confirms the call of a notice; ID makes a repeat idempotent.
type AckRequest struct {
	ID     string
	Reason string
}

func (s *Server) findNotices(w http.ResponseWriter, _ *http.Request) {
	c := s.Policy.Config()
	render(w, http.StatusOK, NoticesView{Offset: c.Offset, Notices: sorted(c.Notices)})
}

func (s *Server) ackNotice(w http.ResponseWriter, r *http.Request) {
	op, err := s.operator(r)
	if err != nil {
		s.fail(w, err)
		return
	}
	var q AckRequest
	if err := decode(w, r, &q); err != nil {
		s.fail(w, err)
		return
	}
	if q.ID == "" {
		s.fail(w, ErrRequestInvalid{Why: "ID is missing"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeBound)
	defer cancel()
	n, err := s.Policy.AckNotice(ctx, policy.Ack{ID: q.ID, Notice: r.PathValue("id"), Operator: op, Reason: q.Reason})
	if err != nil {
		s.fail(w, err)
		return
	}
	render(w, http.StatusOK, n)
}
