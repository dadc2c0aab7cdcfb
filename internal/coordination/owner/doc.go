// Package owner decides which host of a failure domain schedules it, through the log or by lease and rank.
package owner
