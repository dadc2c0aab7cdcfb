// Package peer carries the calls between hosts over TCP, and replaces connections that fall silent.
package peer
