package port

import (
	"context"
	"net/netip"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Host is an entry host as listed by the platform.
type Host struct {
	Name    string
	Domain  string
	Addr    netip.AddrPort
	Leaving bool
}

// Listing is the platform's list of live and leaving hosts and workers; it lags behind the actual state.
type Listing struct {
	Hosts   []Host
	Workers []fleet.Worker
}

// Hosts is the client of the platform's host list.
type Hosts struct {
	// List returns the current list.
	List func(ctx context.Context) (Listing, error)
}
