// Package nettest provides tests with an in-memory network, log and clock with fault injection.
package nettest
