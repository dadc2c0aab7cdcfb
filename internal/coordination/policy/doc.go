// Package policy publishes operators' configuration changes through the log, and tracks which configuration each host
// has in force.
package policy
