package fleet

import "net/netip"

// Worker is one machine that runs tasks, as the platform describes it.
type Worker struct {
	Name         string
	Domain       string
	Rack         string
	Addr         netip.AddrPort
	Slots        int
	Connections  int
	Accelerators int
	Processors   int
	Memory       Bytes
	// Labels are what jobs may ask for, joined by commas.
	Labels string
	// Leaving is set once the platform or an operator has announced that the worker goes.
	Leaving bool
}
