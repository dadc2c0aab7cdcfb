// Package keep holds accepted jobs and their outcomes on the owner and its peers, so that they outlive a host.
package keep
