package entry

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// JobsRequest is the body of a request that acts on several jobs, listed by ID.
type JobsRequest struct {
	Jobs []string
}

// CancelView is the reply to a cancellation, with one result for each job.
type CancelView struct {
	Results []*wire.CancelResult
}

func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var q JobsRequest
	if err := s.decode(w, r, &q); err != nil {
		s.writeQueryError(w, err)
		return
	}
	ctx, cancel := s.withTimeout(r.Context(), requestTimeout)
	defer cancel()
	rs, err := s.router.Cancel(ctx, q.Jobs)
	if err != nil {
		s.writeQueryError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, CancelView{Results: rs})
}

func (s *Server) ackJobs(w http.ResponseWriter, r *http.Request) {
	var q JobsRequest
	if err := s.decode(w, r, &q); err != nil {
		s.writeQueryError(w, err)
		return
	}
	ctx, cancel := s.withTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.router.Ack(ctx, q.Jobs); err != nil {
		s.writeQueryError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, JobsRequest{})
}
