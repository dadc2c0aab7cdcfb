// Package port defines the interfaces, as structs of function fields, through which the coordination layer calls workers, the
// platform and peers.
//
// Adapters of the transport layer provide the functions, so that no decision depends on the protocol of an external system.
package port
