package status

import (
	"net/http"
	"time"
)

// KeysView says whether this host has all claims of idempotency keys of its failure domain.
type KeysView struct {
	Domain   string
	Host     string
	Owner    bool
	Complete bool
	// Since is when the host began to lack claims, and Until when they are complete by themselves.
	Since time.Time `json:",omitzero"`
	Until time.Time `json:",omitzero"`
	Why   string    `json:",omitempty"`
}

func (s *Server) getKeys(w http.ResponseWriter, _ *http.Request) {
	render(w, http.StatusOK, s.Keys())
}
