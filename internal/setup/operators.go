package setup

// Operators sets who may change the configuration.
type Operators struct {
	// KeyFile is the path of a file with a name and a bearer key per line. Without it all changes are refused.
	KeyFile string
}

func loadOperators(s *section) Operators {
	return Operators{KeyFile: s.optional("KeyFile", "")}
}
