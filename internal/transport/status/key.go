package status

import (
	"net/http"
	"time"
)

// KeysView reports whether this host holds all claims of idempotency keys of its failure domain.
type KeysView struct {
	Domain   string
	Host     string
	Owner    bool
	Complete bool
	// Since is when the host began to lack claims, and Until when the claims become complete without an operator.
	Since time.Time `json:",omitzero"`
	Until time.Time `json:",omitzero"`
	Why   string    `json:",omitempty"`
}

func (s *Server) getKeys(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Keys())
}
