// Package peer carries the RPC calls between hosts over TCP and replaces unresponsive connections.
package peer
