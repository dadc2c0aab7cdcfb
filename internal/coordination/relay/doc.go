// Package relay forwards requests that a host cannot serve, because it does not reach the store, to a host that does.
package relay
