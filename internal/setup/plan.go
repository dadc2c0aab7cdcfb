package setup

// Plan weighs what placement aims for.
type Plan struct {
	// FragmentationWeight is between 0, for completion time alone, and 1, for unbroken capacity alone.
	FragmentationWeight float64
}

func loadPlan(s *section) Plan {
	return Plan{FragmentationWeight: s.fraction("FragmentationWeight", 0.3)}
}
