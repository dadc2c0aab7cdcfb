//go:build !linux

package clock

import "time"

// suspended returns 0, since the time of suspensions is only read on Linux.
func suspended() time.Duration {
	return 0
}
