package oper

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// StopView is a planned stop and its progress.
type StopView struct {
	config.Stop
	State string
}

// StopsView lists the planned stops.
type StopsView struct {
	Offset uint64
	Stops  []StopView
}

func (s *Server) findStops(w http.ResponseWriter, r *http.Request) {
	c := s.Policy.Config()
	v := StopsView{Offset: c.Offset, Stops: []StopView{}}
	for _, p := range sortedByName(c.Stops) {
		x := StopView{Stop: p}
		if s.StopState != nil {
			x.State = s.StopState(r.Context(), p)
		}
		v.Stops = append(v.Stops, x)
	}
	writeJSON(w, http.StatusOK, v)
}
