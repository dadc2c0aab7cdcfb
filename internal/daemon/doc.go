// Package daemon puts the parts of an entry host together and runs them.
package daemon
