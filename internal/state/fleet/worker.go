package fleet

import "net/netip"

// Worker is one machine that runs tasks, as described by the platform.
type Worker struct {
	Name string
	// Service is the one whose jobs the worker runs; empty means any.
	Service      string
	Domain       string
	Rack         string
	Addr         netip.AddrPort
	Slots        int
	Connections  int
	Accelerators int
	Processors   int
	Memory       Bytes
	// Labels are the labels that jobs may require, separated by commas.
	Labels string
	// Leaving is set once the platform or an operator has announced that the worker will leave.
	Leaving bool
	// Avoided is set while work should go to other workers, if these have room.
	Avoided bool
}
