package entry

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// JobsRequest names jobs.
type JobsRequest struct {
	Jobs []string
}

// CancelView holds the results of a cancellation.
type CancelView struct {
	Results []*wire.CancelResult
}

func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var q JobsRequest
	if err := s.decode(w, r, &q); err != nil {
		s.failRead(w, err)
		return
	}
	ctx, cancel := s.bound(r.Context(), submitBound)
	defer cancel()
	rs, err := s.router.Cancel(ctx, q.Jobs)
	if err != nil {
		s.failRead(w, err)
		return
	}
	render(w, http.StatusOK, CancelView{Results: rs})
}

func (s *Server) ackJobs(w http.ResponseWriter, r *http.Request) {
	var q JobsRequest
	if err := s.decode(w, r, &q); err != nil {
		s.failRead(w, err)
		return
	}
	ctx, cancel := s.bound(r.Context(), submitBound)
	defer cancel()
	if err := s.router.Ack(ctx, q.Jobs); err != nil {
		s.failRead(w, err)
		return
	}
	render(w, http.StatusOK, JobsRequest{})
}
