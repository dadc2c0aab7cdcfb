// Package daemon builds the components of an entry host and runs them.
package daemon
