package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns the difference between CLOCK_BOOTTIME, which includes suspensions, and CLOCK_MONOTONIC, which does not.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// The system does not provide these clocks.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Round(suspensionResolution)
}

// suspensionResolution is the resolution of suspended. It hides the time between the two clock readings.
const suspensionResolution = 10 * time.Millisecond
