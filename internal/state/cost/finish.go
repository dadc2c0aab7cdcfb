package cost

// lateShare is what a result that comes late is still good for, relative to one in time.
const lateShare = 1.0 / 3

// IsNearlyDone reports whether so few of the tasks of a job are left that ending it late is of more use, for each task, than ending
// another one in time of which all are left.
func IsNearlyDone(left, all int) bool {
	return float64(left) <= lateShare*float64(all)
}
