package status

import (
	"context"
	"net/http"
	"time"
)

// EvacuationView is an evacuated failure domain as known to the answering host.
type EvacuationView struct {
	Domain string
	// Since is when the host first read the request.
	Since time.Time
	// Workers counts the listed workers of the failure domain. Tasks and Accelerators count what still runs there.
	Workers      int
	Tasks        int
	Accelerators int
}

// EvacuationsView lists the evacuated failure domains.
type EvacuationsView struct {
	Evacuations []EvacuationView
	// Why tells why the numbers of workers and tasks are missing; empty if they are not.
	Why string `json:",omitempty"`
}

func (s *Server) findEvacuations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), workersTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, s.Evacuations(ctx))
}
