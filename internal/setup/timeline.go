package setup

// Timeline bounds the number of events that a host keeps.
type Timeline struct {
	Events int
}

func loadTimeline(s *section) Timeline {
	return Timeline{Events: s.count("Events", 10_000, 10, 1_000_000)}
}
