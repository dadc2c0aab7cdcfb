package oper

import (
	"net/http"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// ProfilesView lists the profiles in force, and the changes that are planned.
type ProfilesView struct {
	Offset   uint64
	Profiles []config.Profile
	Planned  []ChangeView
}

func (s *Server) findProfiles(w http.ResponseWriter, _ *http.Request) {
	c := s.Policy.Config()
	v := ProfilesView{Offset: c.Offset, Profiles: sorted(c.Profiles), Planned: []ChangeView{}}
	for _, ch := range sorted(c.Planned) {
		v.Planned = append(v.Planned, viewChange(ch))
	}
	render(w, http.StatusOK, v)
}

func (s *Server) getProfile(w http.ResponseWriter, r *http.Request) {
	n := r.PathValue("name")
	p, ok := s.Policy.Config().Profiles[n]
	if !ok {
		s.fail(w, ErrNotExist{Kind: config.KindProfile, Name: n})
		return
	}
	render(w, http.StatusOK, p)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	f := config.HistoryFilter{Kind: config.KindProfile, Name: r.PathValue("name"), Limit: limit(r)}
	render(w, http.StatusOK, viewChanges(s.Policy.State().FindHistory(f)))
}
