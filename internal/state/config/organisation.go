package config

// Organisation shares capacity by weight, up to a quota.
type Organisation struct {
	Name    string
	Version uint64
	// Weight is the share of capacity that no guarantee covers.
	Weight int
	// Accelerators is the quota over all failure domains; 0 means none.
	Accelerators int
}
