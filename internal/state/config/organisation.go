package config

// Organisation is a tenant that shares capacity by weight, up to a quota.
type Organisation struct {
	Name    string
	Version uint64
	// Weight sets the organisation's share of the capacity that no guarantee covers.
	Weight int
	// Accelerators is the quota over all failure domains; 0 means unlimited.
	Accelerators int
}
