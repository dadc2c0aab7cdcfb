// Package port lists the function fields through which coordination reaches workers, platform and peers.
//
// The adapters of the transport layer fill them in; no decision knows how an outside system is met.
package port
