package config

import "time"

// Kinds of stop.
const (
	StopWorker = "Worker"
	StopRack   = "Rack"
	StopHost   = "Host"
	StopDomain = "Domain"
)

// Stop is a planned stop of a worker, a rack, a host or a failure domain.
type Stop struct {
	Name    string
	Version uint64
	// Kind is Worker, Rack, Host or Domain.
	Kind   string
	Domain string
	// Target names the worker, rack or host; it is empty for a whole failure domain.
	Target string
	From   time.Time
	Until  time.Time
	Reason string
	// Forced is set when the stop was announced although it breaks a promised notice.
	Forced bool
}
