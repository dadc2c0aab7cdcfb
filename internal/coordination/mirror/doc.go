// Package mirror replicates accepted jobs and their outcomes to the hosts of a failure domain, so that they survive the
// loss of the owner.
package mirror
