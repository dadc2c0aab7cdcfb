package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended compares the clock that runs on during a suspension with the one that does not.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Systems without these clocks do not tell.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Round(suspensionUnit)
}

// suspensionUnit hides the time between the two readings.
const suspensionUnit = 10 * time.Millisecond
