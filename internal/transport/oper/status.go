package oper

import "net/http"

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	render(w, http.StatusOK, s.Policy.Status())
}
