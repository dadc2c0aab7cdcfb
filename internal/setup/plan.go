package setup

// Plan holds the weights of placement objectives.
type Plan struct {
	// FragmentationWeight is between 0, which minimises completion time only, and 1, which minimises fragmentation only.
	FragmentationWeight float64
}

func loadPlan(s *section) Plan {
	return Plan{FragmentationWeight: s.fraction("FragmentationWeight", 0.3)}
}
