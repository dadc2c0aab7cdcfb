package oper

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// OrganisationsView lists the organisations in force.
type OrganisationsView struct {
	Offset        uint64
	Organisations []config.Organisation
}

func (s *Server) findOrganisations(w http.ResponseWriter, _ *http.Request) {
	c := s.Policy.Config()
	writeJSON(w, http.StatusOK, OrganisationsView{Offset: c.Offset, Organisations: sortedByName(c.Organisations)})
}
