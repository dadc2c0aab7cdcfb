package setup

// Operators says who may change the configuration.
type Operators struct {
	// KeyFile holds a name and a bearer key on each line; without it every change is refused.
	KeyFile string
}

func loadOperators(s *section) Operators {
	return Operators{KeyFile: s.text("KeyFile", "")}
}
