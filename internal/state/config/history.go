package config

// history holds the newest changes in log order, indexed by id.
type history struct {
	changes []Change
	ids     map[string]int
	// dropped is the number of changes evicted before changes[0]; ids counts from the first change ever added.
	dropped int
}

func (h *history) add(c Change) {
	if h.ids == nil {
		h.ids = map[string]int{}
	}
	h.ids[c.ID] = h.dropped + len(h.changes)
	h.changes = append(h.changes, c)
	if len(h.changes) > historyLimit {
		delete(h.ids, h.changes[0].ID)
		h.changes[0] = Change{}
		h.changes = h.changes[1:]
		h.dropped++
	}
}

func (h *history) get(id string) (Change, bool) {
	i, ok := h.ids[id]
	if !ok {
		return Change{}, false
	}
	return h.changes[i-h.dropped], true
}

// lastOperator returns the operator who last set or removed a resource, or "" when the change was evicted.
func (h *history) lastOperator(k Kind, name string) string {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].IsAccepted() && h.changes[i].HasItem(k, name) {
			return h.changes[i].Operator
		}
	}
	return ""
}

// HistoryFilter selects changes of the history; an empty field matches all.
type HistoryFilter struct {
	Kind  Kind
	Name  string
	Limit int
}

func (f HistoryFilter) isMatch(c Change) bool {
	if f.Kind == "" {
		return true
	}
	for _, i := range c.Items {
		if i.Kind == f.Kind && (f.Name == "" || i.Name == f.Name) {
			return true
		}
	}
	return false
}

// GetChange returns a change with its verdict by id, if the history still has it.
func (s *State) GetChange(id string) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.get(id)
}

// FindHistory returns the newest changes that match f, oldest first.
func (s *State) FindHistory(f HistoryFilter) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for _, c := range s.history.changes {
		if f.isMatch(c) {
			out = append(out, c)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// LastOperator returns the operator who last set or removed a resource, or "" when the change was evicted.
func (s *State) LastOperator(k Kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.lastOperator(k, name)
}
