package guard

import (
	"math"
	"syscall"
)

// MaxOpenFiles returns the number of files that the process may open, and false if it is not limited.
func MaxOpenFiles() (int, bool) {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return 0, false
	}
	return int(r.Cur), true
}
