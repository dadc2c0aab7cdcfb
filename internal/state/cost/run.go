package cost

import "time"

// minGain is how much a run has to get done, relative to what its stop and its next start cost, for a start to be of use.
const minGain = 2

// MinRun returns how long a job that saves its progress has to run for a start to be of use, if a stop and the start after it take the
// given time.
func MinRun(restart time.Duration) time.Duration {
	return minGain * restart
}
