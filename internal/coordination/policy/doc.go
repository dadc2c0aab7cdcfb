// Package policy takes operators' changes to the log, and tells which host has which configuration in force.
package policy
