// Package owner elects the host that schedules a failure domain: through the platform's log while it is available, and
// by lease and rank otherwise.
package owner
