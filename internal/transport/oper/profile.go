package oper

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// ProfilesView lists the profiles in force and the changes that are scheduled for later.
type ProfilesView struct {
	Offset   uint64
	Profiles []config.Profile
	Planned  []ChangeView
}

func (s *Server) findProfiles(w http.ResponseWriter, _ *http.Request) {
	c := s.Policy.Config()
	v := ProfilesView{Offset: c.Offset, Profiles: sortedByName(c.Profiles), Planned: []ChangeView{}}
	for _, ch := range sortedByName(c.Planned) {
		v.Planned = append(v.Planned, newChangeView(ch))
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) getProfile(w http.ResponseWriter, r *http.Request) {
	n := r.PathValue("name")
	p, ok := s.Policy.Config().Profiles[n]
	if !ok {
		s.writeError(w, ErrNotExist{Kind: config.KindProfile, Name: n})
		return
	}
	writeJSON(w, http.StatusOK, p)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	f := config.HistoryFilter{Kind: config.KindProfile, Name: r.PathValue("name"), Limit: parseLimit(r)}
	writeJSON(w, http.StatusOK, newChangesView(s.Policy.State().FindHistory(f)))
}
